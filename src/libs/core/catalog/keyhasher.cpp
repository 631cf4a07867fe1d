#include "core/catalog/keyhasher.h"

#include "crypto/base64url.h"
#include "crypto/digest.h"

namespace Catalog {

KeyHasher::KeyHasher(std::string_view fleetSecret)
    : m_secret(Crypto::deriveSecret(fleetSecret, "caller-key"))
{
}

std::string KeyHasher::hash(std::string_view key) const
{
    return Crypto::toBase64Url(Crypto::hmacSha256(m_secret, key));
}

}
