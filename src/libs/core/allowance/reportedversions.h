#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Allowance {

/// The versions of the configuration that the hosts have in force, by their reports. A host that stays at an
/// older version may count a customer's operations against a limit that has been replaced. Used on one
/// thread.
class ReportedVersions {
public:
    void reported(const std::string& host, std::uint64_t version, Model::Time now);
    /// Forgets the versions of all other hosts.
    void retainHosts(const std::vector<std::string>& hosts);
    /// The hosts without those that have been at an older version for longer than adoptions and reports take;
    /// all of them if no other is left.
    std::vector<std::string> upToDate(
        const std::vector<std::string>& hosts, Model::Duration reportPeriod, Model::Time now) const;
    /// The number of hosts whose version is lower than `version`.
    int olderThan(std::uint64_t version) const;

private:
    bool isOutdated(const std::string& host, Model::Duration reportPeriod, Model::Time now) const;

    std::map<std::string, std::uint64_t> m_hosts;
    /// When each version was first reported. Without versions that were replaced long ago.
    std::map<std::uint64_t, Model::Time> m_firstReportedAt;
};

}
