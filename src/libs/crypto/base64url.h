#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Crypto {

/// Encodes bytes as base64url without padding (RFC 4648, section 5).
std::string toBase64Url(std::string_view bytes);
/// Decodes base64url without padding. Returns `nullopt` if the text is malformed.
std::optional<std::string> fromBase64Url(std::string_view text);
/// Encodes bytes as lower-case hexadecimal digits, two for each byte.
std::string toHex(std::string_view bytes);

}
