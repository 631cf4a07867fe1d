#include "core/placement/poolhosts.h"

#include "core/model/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace Placement {

namespace {

    /// Weighted rendezvous hashing (logarithmic method; Schindelhauer and Schomaker, "Weighted Distributed
    /// Hash Tables", SPAA 2005): a host is the first for a share of the services that is proportional to its
    /// weight.
    double score(std::uint64_t serviceHash, const HostCapacity& host)
    {
        const double hash = static_cast<double>(Model::stableHash(host.host, serviceHash));
        const double fraction
            = (hash + 1) / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
        return -host.processorShare / std::log(fraction);
    }

}

PoolHosts::PoolHosts(std::string zone)
    : m_zone(std::move(zone))
{
}

void PoolHosts::setHosts(const std::vector<HostCapacity>& hosts)
{
    std::set<std::string> zones;
    m_hosts.clear();
    m_ranked.clear();
    for (const HostCapacity& host : hosts) {
        zones.insert(host.zone);
        if (host.zone == m_zone && host.processorShare > 0)
            m_hosts.push_back(host);
    }
    m_zoneCount = std::max(1, static_cast<int>(zones.size()));
}

const std::vector<std::string>& PoolHosts::ranked(const std::string& service) const
{
    const auto [entry, isNew] = m_ranked.try_emplace(service);
    if (!isNew)
        return entry->second;
    const std::uint64_t serviceHash = Model::stableHash(service);
    std::vector<std::pair<double, std::string>> scores;
    for (const HostCapacity& host : m_hosts)
        scores.emplace_back(score(serviceHash, host), host.host);
    std::ranges::sort(scores, std::greater {});
    for (std::size_t i = 0; i < std::min(scores.size(), maxCandidates); ++i)
        entry->second.push_back(scores[i].second);
    return entry->second;
}

}
