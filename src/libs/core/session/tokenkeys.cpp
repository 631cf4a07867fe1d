#include "core/session/tokenkeys.h"

#include "crypto/digest.h"

#include <algorithm>

namespace Session {

const TokenKey* TokenKeys::find(std::string_view id) const
{
    const auto found = std::ranges::find(keys, id, &TokenKey::id);
    return found == keys.end() ? nullptr : &*found;
}

TokenKeys deriveTokenKeys(std::string_view fleetSecret, const std::vector<std::string>& ids)
{
    TokenKeys result;
    for (const std::string& id : ids)
        result.keys.push_back({ id, Crypto::deriveSecret(fleetSecret, "session-token/" + id) });
    return result;
}

}
