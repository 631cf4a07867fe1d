#include "core/allowance/reportedversions.h"

#include <algorithm>
#include <iterator>

namespace Allowance {

namespace {

    /// Time from the first adoption of a version to that of the last host, unless it cannot read the store.
    constexpr Model::Duration adoptionTime = std::chrono::seconds(3);
    /// Versions that were replaced longer ago than this need not be told apart.
    constexpr Model::Duration versionLifetime = std::chrono::minutes(1);

}

void ReportedVersions::reported(const std::string& host, std::uint64_t version, Model::Time now)
{
    m_hosts[host] = version;
    m_firstReportedAt.try_emplace(version, now);
    while (m_firstReportedAt.size() > 1) {
        const auto next = std::next(m_firstReportedAt.begin());
        if (now - next->second < versionLifetime)
            return;
        m_firstReportedAt.erase(m_firstReportedAt.begin());
    }
}

void ReportedVersions::retainHosts(const std::vector<std::string>& hosts)
{
    std::erase_if(
        m_hosts, [&](const auto& entry) { return std::ranges::find(hosts, entry.first) == hosts.end(); });
}

bool ReportedVersions::isOutdated(
    const std::string& host, Model::Duration reportPeriod, Model::Time now) const
{
    const auto version = m_hosts.find(host);
    if (version == m_hosts.end())
        return false;
    const auto newer = m_firstReportedAt.upper_bound(version->second);
    return newer != m_firstReportedAt.end() && now - newer->second > adoptionTime + reportPeriod;
}

std::vector<std::string> ReportedVersions::upToDate(
    const std::vector<std::string>& hosts, Model::Duration reportPeriod, Model::Time now) const
{
    std::vector<std::string> result;
    std::ranges::copy_if(hosts, std::back_inserter(result),
        [&](const std::string& host) { return !isOutdated(host, reportPeriod, now); });
    return result.empty() ? hosts : result;
}

int ReportedVersions::olderThan(std::uint64_t version) const
{
    return static_cast<int>(
        std::ranges::count_if(m_hosts, [&](const auto& entry) { return entry.second < version; }));
}

}
