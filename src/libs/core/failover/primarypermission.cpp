#include "core/failover/primarypermission.h"

#include <algorithm>
#include <functional>

namespace Failover {

namespace {

    /// While the messages of the other hosts suffice, the store is read after half of the time for which the
    /// last read counts, so that the permission outlives an outage of the store of the same length, but no
    /// less often than in the first period and no more often than in the second.
    constexpr Model::Duration maxStoreReadPeriod = std::chrono::seconds(8);
    constexpr Model::Duration minStoreReadPeriod = std::chrono::milliseconds(700);
    /// The store is read if the permission ends within this time. Shorter than what remains of it when the
    /// reports of a fleet of some tens of hosts, which all arrive together, are due again.
    constexpr Model::Duration renewalMargin = std::chrono::milliseconds(350);

}

void PrimaryPermission::setHosts(const std::vector<std::string>& hosts, Model::Time now)
{
    std::erase_if(
        m_hosts, [&](const auto& host) { return std::ranges::find(hosts, host.first) == hosts.end(); });
    for (const std::string& host : hosts)
        m_hosts.try_emplace(host, std::nullopt);
    update(now);
}

void PrimaryPermission::contacted(const std::string& host, Model::Time sentAt, Model::Time now)
{
    const auto entry = m_hosts.find(host);
    if (entry == m_hosts.end())
        return;
    entry->second = std::max(entry->second.value_or(sentAt), sentAt);
    update(now);
}

void PrimaryPermission::storeRead(Model::Time startedAt, Model::Time now)
{
    if (!m_firstStoreReadAt)
        m_firstStoreReadAt = startedAt;
    m_storeReadAt = std::max(m_storeReadAt.value_or(startedAt), startedAt);
    update(now);
}

/// Since when a majority of the fleet, this host included, has sent messages; `nullopt` if too few have.
std::optional<Model::Time> PrimaryPermission::majorityHeardAt(Model::Time now) const
{
    const std::size_t others = (m_hosts.size() + 1) / 2;
    if (others == 0)
        return now;
    std::vector<Model::Time> heard;
    for (const auto& [name, heardAt] : m_hosts) {
        if (heardAt)
            heard.push_back(*heardAt);
    }
    if (heard.size() < others)
        return std::nullopt;
    const auto last = heard.begin() + static_cast<std::ptrdiff_t>(others - 1);
    std::ranges::nth_element(heard, last, std::ranges::greater {});
    return *last;
}

void PrimaryPermission::update(Model::Time now)
{
    if (!m_storeReadAt)
        return;
    m_validUntil = *m_storeReadAt + permissionDuration;
    if (const auto heardAt = majorityHeardAt(now)) {
        const Model::Duration maxAge = std::min(*m_storeReadAt - *m_firstStoreReadAt, maxStoreReadAge);
        const Model::Time byMajority = std::min(*heardAt + permissionDuration, *m_storeReadAt + maxAge);
        m_validUntil = std::max(m_validUntil, byMajority);
    }
}

bool PrimaryPermission::needsStoreRead(Model::Time now) const
{
    if (!m_storeReadAt || now + renewalMargin >= m_validUntil)
        return true;
    const Model::Duration period
        = std::clamp((*m_storeReadAt - *m_firstStoreReadAt) / 2, minStoreReadPeriod, maxStoreReadPeriod);
    return now - *m_storeReadAt >= period;
}

}
