#pragma once

#include <string>
#include <string_view>

namespace Catalog {

/// Turns callers' keys into the hashes that the document holds. Owns the secret derived for that purpose;
/// any thread may use it.
class KeyHasher {
public:
    explicit KeyHasher(std::string_view fleetSecret);

    /// HMAC-SHA256 of the key in base64url: 43 characters.
    std::string hash(std::string_view key) const;

private:
    std::string m_secret;
};

}
