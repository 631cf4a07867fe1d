#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace Proxy {

/// What this host may hold of an upstream's connections.
struct ConnectionShare {
    /// Connections that stay open without use.
    int guaranteed = 1;
    /// Connections that this host may open.
    int maximum = 2;
};

/// Divides the connections that an upstream accepts between the hosts.
///
/// Every live host has a base that nobody else takes, or none if the hosts outnumber the connections. What is
/// left goes to those that need more, first come, first served, as far as the other hosts' reports show it
/// free. Two hosts may take the same one between two reports; the upstream then refuses it. Used on one
/// thread.
class ConnectionLedger {
public:
    /// The name of an upstream in reports.
    static std::uint32_t hashOf(const std::string& upstream);

    /// Number of live hosts, this one included.
    void setHostCount(int count);
    /// The connections that a host holds, by the hash of the upstream. Replaces what it reported before.
    void setOpen(const std::string& host, std::unordered_map<std::uint32_t, int> open, Model::Time now);
    /// Forgets what hosts reported that are silent since `before`.
    void removeReportsBefore(Model::Time before);

    /// `limit` is the number of connections that the upstream accepts; 0 if it is unknown.
    ConnectionShare share(const std::string& upstream, int limit) const;

private:
    struct Report {
        Model::Time at;
        std::unordered_map<std::uint32_t, int> open;
    };

    int m_hostCount = 1;
    std::map<std::string, Report> m_reports;
};

}
