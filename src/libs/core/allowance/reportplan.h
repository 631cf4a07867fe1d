#pragma once

#include "core/allowance/fleetallowance.h"
#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Allowance {

/// How often a host of a fleet of `hosts` reports to the others. Every host hears every other one, so the
/// period grows with the fleet to bound what a host receives.
Model::Duration reportPeriod(int hosts);

/// Decides when this host reports to the others and which customers a report names. Used on one thread.
///
/// Counts only rise, so that a report needs to name only the customers that have changed; whole reports
/// follow from time to time, for hosts that are new or have lost one.
class ReportPlan {
public:
    void setHostCount(int hosts) { m_hosts = hosts; }
    Model::Duration period() const { return reportPeriod(m_hosts); }
    /// Whether the fleet is so large that reports come less often than failovers need them.
    bool isRateReduced() const;

    /// Whether a report is due. While the primary of a service is in question, the hosts need each other's
    /// opinions sooner.
    bool isDue(bool isPrimarySuspected, Model::Time now) const;
    /// Notes that a report goes out and returns the entries that it carries.
    std::vector<Usage> takeUsage(const std::vector<Usage>& all, Model::Time now);

private:
    struct Reported {
        std::uint64_t admitted = 0;
        double demand = 0;
    };

    int m_hosts = 1;
    std::optional<Model::Time> m_reportedAt;
    std::optional<Model::Time> m_usageAt;
    std::uint64_t m_count = 0;
    std::map<std::string, Reported> m_reported;
};

}
