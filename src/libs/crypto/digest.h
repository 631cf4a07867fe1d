#pragma once

#include <string>
#include <string_view>

namespace Crypto {

/// Returns the SHA-256 digest of `bytes` (FIPS 180-4): 32 bytes. Aborts the process if GnuTLS fails.
std::string sha256(std::string_view bytes);
/// Returns the HMAC-SHA256 of `bytes` (RFC 2104): 32 bytes. Aborts the process if GnuTLS fails.
std::string hmacSha256(std::string_view secret, std::string_view bytes);
/// Derives a 32-byte secret from the fleet secret: the HMAC-SHA256 of `purpose`. Different purposes get
/// independent secrets.
std::string deriveSecret(std::string_view fleetSecret, std::string_view purpose);
/// Compares in a time that does not depend on the position of the first difference, as protection against
/// timing attacks. Inputs of different length are unequal at once.
bool isEqualConstantTime(std::string_view left, std::string_view right);

}
