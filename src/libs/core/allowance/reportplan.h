#pragma once

#include "core/allowance/fleetallowance.h"
#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Allowance {

/// The period in which each of `hosts` hosts reports to all others. It grows with the fleet to bound the rate
/// of reports that a host receives.
Model::Duration reportPeriod(int hosts);
/// The same for a host that started `sinceStart` ago, which reports more often at first. Until its reports
/// arrive, other hosts reserve it a share of each customer's limit that it may not need. With the regular
/// period, most operations would be refused for two or three periods after a start of the whole fleet.
Model::Duration reportPeriod(int hosts, Model::Duration sinceStart);

/// Decides when this host reports to the others and which customers a report includes. Used on one thread.
///
/// Counts only increase, so that a report needs to include only the customers that have changed. Every few
/// reports one includes all customers, for hosts that are new or have missed a report.
class ReportPlan {
public:
    void setHostCount(int hosts) { m_hosts = hosts; }
    /// This host can report since `now`.
    void started(Model::Time now) { m_startedAt = now; }
    /// Another host has started: it needs this host's report before it can admit operations.
    void peerStarted() { m_isRequested = true; }
    Model::Duration period() const { return reportPeriod(m_hosts); }
    /// Whether the fleet is so large that the regular reports are too rare for a failover.
    bool isRateReduced() const;

    /// Whether a report is due. Reports are due sooner while the primary of a service is suspected, since the
    /// hosts then need each other's health observations.
    bool isDue(bool isPrimarySuspected, Model::Time now) const;
    /// Records that a report is sent at `now` and returns the entries of `all` that it includes.
    std::vector<Usage> takeUsage(const std::vector<Usage>& all, Model::Time now);

private:
    struct Reported {
        std::uint64_t admitted = 0;
        double demand = 0;
    };

    Model::Duration currentPeriod(Model::Time now) const;

    int m_hosts = 1;
    std::optional<Model::Time> m_startedAt;
    /// A report is due sooner, because another host has started.
    bool m_isRequested = false;
    std::optional<Model::Time> m_reportedAt;
    std::optional<Model::Time> m_usageAt;
    std::uint64_t m_count = 0;
    std::map<std::string, Reported> m_reported;
};

}
