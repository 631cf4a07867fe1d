#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Session {

struct TokenKey {
    /// Must not contain a dot, which ends the key id in a token.
    std::string id;
    std::string secret;
};

/// Tokens are signed with the first key and verified with any of the keys, so that they remain valid when
/// the signing key is replaced.
struct TokenKeys {
    std::vector<TokenKey> keys;

    /// Returns the key with this id, or null.
    const TokenKey* find(std::string_view id) const;
};

/// Derives the keys with the given ids from the fleet secret, in the same order.
TokenKeys deriveTokenKeys(std::string_view fleetSecret, const std::vector<std::string>& ids);

}
