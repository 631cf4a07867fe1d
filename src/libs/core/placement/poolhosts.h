#pragma once

#include <map>
#include <string>
#include <vector>

namespace Placement {

/// A host of the fleet as its row in the store describes it.
struct HostCapacity {
    std::string host;
    std::string zone;
    /// Share of a processor that the host has, from 0 to 1.
    double processorShare = 1;
};

/// Ranks the hosts of this host's zone for each service. The first usable one is the pool host of the
/// service: it executes the statements of all hosts of the zone, so that its connections are used again.
///
/// All hosts that know the same rows get the same ranking, without messages between them. Two hosts that
/// disagree for a while use two pool hosts, which costs connections only. Used on one thread.
class PoolHosts {
public:
    explicit PoolHosts(std::string zone);

    /// Sets all hosts of the fleet.
    void setHosts(const std::vector<HostCapacity>& hosts);
    /// The hosts of the zone that may execute statements of the service, the preferred one first; at most
    /// `maxCandidates`.
    const std::vector<std::string>& ranked(const std::string& service) const;
    /// Number of zones that have hosts. Each of them has a pool host for a service.
    int zoneCount() const { return m_zoneCount; }

    static constexpr std::size_t maxCandidates = 3;

private:
    std::string m_zone;
    std::vector<HostCapacity> m_hosts;
    int m_zoneCount = 1;
    /// By service; filled when a service is asked for first.
    mutable std::map<std::string, std::vector<std::string>> m_ranked;
};

}
