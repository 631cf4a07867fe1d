#pragma once

#include <string>
#include <string_view>

namespace Crypto {

/// SHA-256 of the bytes: 32 bytes.
std::string sha256(std::string_view bytes);
/// HMAC-SHA256 of the bytes: 32 bytes.
std::string hmacSha256(std::string_view secret, std::string_view bytes);
/// A 32-byte secret for one purpose, derived from the fleet secret with HMAC-SHA256.
std::string deriveSecret(std::string_view fleetSecret, std::string_view purpose);
/// Compares in a time that does not depend on where the first difference is.
bool isEqualConstantTime(std::string_view left, std::string_view right);

}
