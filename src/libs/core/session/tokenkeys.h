#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Session {

struct TokenKey {
    /// Without a dot.
    std::string id;
    std::string secret;
};

/// The first key signs, all verify, so that tokens outlive a change of the signing key.
struct TokenKeys {
    std::vector<TokenKey> keys;

    const TokenKey* find(std::string_view id) const;
};

/// Derives the keys with the given ids from the fleet secret.
TokenKeys deriveTokenKeys(std::string_view fleetSecret, const std::vector<std::string>& ids);

}
