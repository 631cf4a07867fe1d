#pragma once

#include <string>
#include <string_view>

namespace Catalog {

/// Computes the hashes of callers' keys as they are stored in the document. Owns the secret for this, which
/// is derived from the fleet secret. May be used on any thread.
class KeyHasher {
public:
    explicit KeyHasher(std::string_view fleetSecret);

    /// HMAC-SHA256 (RFC 2104) of the key, in base64url without padding: 43 characters.
    std::string hash(std::string_view key) const;

private:
    std::string m_secret;
};

}
