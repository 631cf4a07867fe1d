#include "core/allowance/reportplan.h"

#include <algorithm>
#include <cmath>

namespace Allowance {

namespace {

    constexpr Model::Duration basePeriod = std::chrono::milliseconds(200);
    /// A host of a large fleet receives about one report in this time.
    constexpr Model::Duration periodPerHost = std::chrono::milliseconds(15);
    /// The same while a primary is suspected; such reports are short.
    constexpr Model::Duration urgentPeriodPerHost = std::chrono::milliseconds(4);
    /// The same after a start of this host or of another one.
    constexpr Model::Duration startPeriodPerHost = std::chrono::milliseconds(4);
    constexpr Model::Duration startPhase = std::chrono::seconds(2);
    /// One of this many reports includes all customers.
    constexpr std::uint64_t fullReportInterval = 8;
    /// A change of demand by less than this fraction, or by less than one operation per second, is not
    /// reported at once.
    constexpr double significantDemandChange = 0.25;

}

Model::Duration reportPeriod(int hosts) { return std::max(basePeriod, periodPerHost * hosts); }

Model::Duration reportPeriod(int hosts, Model::Duration sinceStart)
{
    return sinceStart < startPhase ? std::max(basePeriod, startPeriodPerHost * hosts) : reportPeriod(hosts);
}

Model::Duration ReportPlan::currentPeriod(Model::Time now) const
{
    if (m_isRequested)
        return reportPeriod(m_hosts, Model::Duration {});
    return m_startedAt ? reportPeriod(m_hosts, now - *m_startedAt) : period();
}

bool ReportPlan::isRateReduced() const { return period() > basePeriod; }

bool ReportPlan::isDue(bool isPrimarySuspected, Model::Time now) const
{
    if (!m_reportedAt)
        return true;
    const Model::Duration period
        = isPrimarySuspected ? std::max(basePeriod, urgentPeriodPerHost * m_hosts) : currentPeriod(now);
    return now - *m_reportedAt >= period;
}

std::vector<Usage> ReportPlan::takeUsage(const std::vector<Usage>& all, Model::Time now)
{
    m_reportedAt = now;
    std::vector<Usage> result;
    // Reports that are sent sooner because a primary is suspected carry no usage.
    if (m_usageAt && now - *m_usageAt < currentPeriod(now))
        return result;
    m_usageAt = now;
    m_isRequested = false;
    const bool isFull = m_count++ % fullReportInterval == 0;
    for (const Usage& usage : all) {
        Reported& reported = m_reported[usage.customer];
        const double change = std::abs(usage.demand - reported.demand);
        const bool isChanged = usage.admitted != reported.admitted
            || change > std::max(1.0, significantDemandChange * reported.demand);
        if (!isFull && !isChanged)
            continue;
        reported = { usage.admitted, usage.demand };
        result.push_back(usage);
    }
    return result;
}

}
