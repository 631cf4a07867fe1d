#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace Proxy {

/// Bounds of this host's share of an upstream's connections.
struct ConnectionShare {
    /// Number of connections that this host may keep open while they are idle.
    int guaranteed = 1;
    /// Number of connections that this host may have open.
    int maximum = 2;
};

/// Divides the connections that an upstream accepts between the hosts.
///
/// Every live host has a base, a number of connections that no other host uses. It is 0 if the hosts
/// outnumber the connections. The remaining connections go to the hosts that need more, first come, first
/// served, as far as the other hosts' reports show them free. Between two reports, two hosts may open the
/// same free connection; the upstream then refuses the second one. Used on one thread.
class ConnectionLedger {
public:
    /// Identifies an upstream in the hosts' reports: the low 32 bits of `Model::stableHash` of its id.
    static std::uint32_t hashOf(const std::string& upstream);

    /// Sets the number of live hosts, this one included; at least 1 is assumed.
    void setHostCount(int count);
    /// Records another host's report of its open connections, by `hashOf` the upstream. Replaces the previous
    /// report of that host.
    void setOpen(const std::string& host, std::unordered_map<std::uint32_t, int> open, Model::Time now);
    /// Removes reports that were recorded before `before`.
    void removeReportsBefore(Model::Time before);

    /// Returns this host's share. `limit` is the number of connections that the upstream accepts; 0 if it is
    /// unknown.
    ConnectionShare share(const std::string& upstream, int limit) const;
    /// As above, if the connections are divided between `hosts` hosts only; 0 if this host is none of them.
    ConnectionShare share(const std::string& upstream, int limit, int hosts) const;

private:
    struct Report {
        Model::Time at;
        std::unordered_map<std::uint32_t, int> open;
    };

    int m_hostCount = 1;
    std::map<std::string, Report> m_reports;
};

}
