#include "core/failover/emptylogs.h"

#include "core/failover/replicareturntime.h"

namespace Failover {

namespace {

    /// Longer than the time between two surveys of the host that holds the lease. After that, the upstream
    /// may have had a log in between.
    constexpr Model::Duration maxGap = std::chrono::seconds(5);

}

void EmptyLogs::seen(const std::string& upstream, Model::Time now)
{
    std::erase_if(m_logs, [&](const auto& entry) { return now - entry.second.lastSeenAt > maxGap; });
    m_logs.try_emplace(upstream, EmptyLog { now, now }).first->second.lastSeenAt = now;
}

bool EmptyLogs::mayBeLost(const std::string& upstream, Model::Time now) const
{
    const auto log = m_logs.find(upstream);
    const bool isKnown = log != m_logs.end() && now - log->second.lastSeenAt <= maxGap;
    return !isKnown || now - log->second.since < replicaReturnTime;
}

}
