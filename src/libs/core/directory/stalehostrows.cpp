#include "core/directory/stalehostrows.h"

#include "core/model/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Directory {

namespace {

    /// Divisors of the lifetime. `pauseDivisor` gives the pause between two rows. `activeDivisor` gives the
    /// time within which a host must have reported to get rows assigned, and the maximum interval between
    /// calls.
    constexpr int pauseDivisor = 10;
    constexpr int activeDivisor = 2;
    /// With a longer interval between calls, this process was paused and has missed reports.
    constexpr Model::Duration maxCallInterval = std::chrono::seconds(3);

}

StaleHostRows::StaleHostRows(std::string self, Model::Duration lifetime)
    : m_self(std::move(self))
    , m_lifetime(lifetime)
{
}

void StaleHostRows::setAll(const std::vector<HostEntry>& rows, Model::Time now)
{
    std::erase_if(m_rows,
        [&](const auto& row) { return std::ranges::find(rows, row.first, &HostEntry::host) == rows.end(); });
    for (const HostEntry& row : rows)
        setRow(row.host, row.version, now);
}

void StaleHostRows::setRow(const std::string& host, std::uint64_t version, Model::Time now)
{
    if (host == m_self)
        return;
    Row& row = m_rows[host];
    if (row.version != version)
        row = { version, now };
}

void StaleHostRows::reportReceived(const std::string& host, Model::Time now)
{
    const auto row = m_rows.find(host);
    if (row != m_rows.end())
        row->second.seenAt = now;
}

std::optional<HostEntry> StaleHostRows::takeNext(Model::Time now)
{
    const Model::Duration callIntervalLimit = std::min(maxCallInterval, m_lifetime / activeDivisor);
    const bool wasPaused = m_lastCallAt && now - *m_lastCallAt > callIntervalLimit;
    m_lastCallAt = now;
    if (wasPaused) {
        for (auto& [host, row] : m_rows)
            row.seenAt = now;
    }
    if (m_lastTakenAt && now - *m_lastTakenAt < m_lifetime / pauseDivisor)
        return std::nullopt;
    for (const auto& [host, row] : m_rows) {
        if (now - row.seenAt >= m_lifetime && isAssignedToSelf(host, now)) {
            m_lastTakenAt = now;
            return HostEntry { host, row.version };
        }
    }
    return std::nullopt;
}

/// The hosts that have reported recently divide the rows by rendezvous hashing, so that one of them deletes
/// each.
bool StaleHostRows::isAssignedToSelf(const std::string& host, Model::Time now) const
{
    std::vector<std::string> active { m_self };
    for (const auto& [name, row] : m_rows) {
        if (now - row.seenAt < m_lifetime / activeDivisor)
            active.push_back(name);
    }
    return Model::rendezvousIndex(host, active) == 0;
}

}
