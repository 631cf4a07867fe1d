#include "core/directory/missingupstreams.h"

namespace Directory {

namespace {

    /// Running upstreams register again within about 2 s after the store is available again.
    constexpr Model::Duration grace = std::chrono::milliseconds(2500);

}

void MissingUpstreams::entryMissing(const std::string& upstream, Model::Time now)
{
    m_missingSince.try_emplace(upstream, now);
}

std::vector<std::string> MissingUpstreams::takeExpired(Model::Time now)
{
    std::vector<std::string> expired;
    for (const auto& [upstream, since] : m_missingSince) {
        if (now - since >= grace)
            expired.push_back(upstream);
    }
    for (const std::string& upstream : expired)
        m_missingSince.erase(upstream);
    return expired;
}

}
