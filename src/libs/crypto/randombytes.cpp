#include "crypto/randombytes.h"

#include <cstdlib>
#include <cstring>

#include <gnutls/crypto.h>

namespace Crypto {

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    // Without random bytes no secret is safe, so the process must not continue.
    if (gnutls_rnd(GNUTLS_RND_KEY, bytes.data(), bytes.size()) < 0)
        std::abort();
    return bytes;
}

std::uint64_t randomNumber()
{
    const std::string bytes = randomBytes(sizeof(std::uint64_t));
    std::uint64_t number = 0;
    std::memcpy(&number, bytes.data(), sizeof number);
    return number;
}

}
