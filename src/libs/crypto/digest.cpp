#include "crypto/digest.h"

#include <cstdlib>

#include <gnutls/crypto.h>

namespace Crypto {

namespace {

    constexpr std::size_t sha256Bytes = 32;

}

std::string sha256(std::string_view bytes)
{
    std::string result(sha256Bytes, '\0');
    // Hashing fails only if GnuTLS itself does not work, so there is nothing to fall back to.
    if (gnutls_hash_fast(GNUTLS_DIG_SHA256, bytes.data(), bytes.size(), result.data()) < 0)
        std::abort();
    return result;
}

std::string hmacSha256(std::string_view secret, std::string_view bytes)
{
    std::string result(sha256Bytes, '\0');
    if (gnutls_hmac_fast(
            GNUTLS_MAC_SHA256, secret.data(), secret.size(), bytes.data(), bytes.size(), result.data())
        < 0)
        std::abort();
    return result;
}

std::string deriveSecret(std::string_view fleetSecret, std::string_view purpose)
{
    return hmacSha256(fleetSecret, purpose);
}

bool isEqualConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
}

}
