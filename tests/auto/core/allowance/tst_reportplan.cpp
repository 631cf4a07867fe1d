#include "core/allowance/reportplan.h"

#include <gtest/gtest.h>

using namespace Allowance;
using namespace std::chrono_literals;
using Model::Time;

// Guards against a rate of received reports that grows with the fleet and uses up its processor time: with 76
// hosts and 5 reports/s from each, a host received 375 reports/s (run quiet-1 of deployment
// tsh-approvals-grown).
TEST(ReportPlan, ReceivedReportRateIsBoundedInLargeFleets)
{
    for (const int hosts : { 20, 76, 300, 810 }) {
        const double received = (hosts - 1) / std::chrono::duration<double>(reportPeriod(hosts)).count();
        EXPECT_LT(received, 80) << hosts;
    }
    EXPECT_EQ(reportPeriod(9), Model::Duration(200ms));
}

// Guards against failovers that are delayed by the long report period of a large fleet.
TEST(ReportPlan, ReportsSoonerWhilePrimaryIsSuspected)
{
    ReportPlan plan;
    plan.setHostCount(76);
    plan.takeUsage({}, Time { 1s });
    EXPECT_FALSE(plan.isDue(false, Time { 1500ms }));
    EXPECT_TRUE(plan.isDue(true, Time { 1500ms }));
    EXPECT_FALSE(plan.isDue(true, Time { 1100ms }));
}

// Guards against a host that starts and gets no reports of the others for a whole period of a large fleet.
TEST(ReportPlan, ReportsSoonerAfterAStart)
{
    ReportPlan plan;
    plan.setHostCount(76);
    plan.started(Time { 1s });
    plan.takeUsage({}, Time { 1s });
    EXPECT_FALSE(plan.isDue(false, Time { 1300ms }));
    EXPECT_TRUE(plan.isDue(false, Time { 1304ms }));
    plan.takeUsage({}, Time { 4s });
    EXPECT_FALSE(plan.isDue(false, Time { 4500ms }));
    plan.peerStarted();
    EXPECT_TRUE(plan.isDue(false, Time { 4500ms }));
    EXPECT_EQ(plan.takeUsage({ { "acme", 1, 1, 1 } }, Time { 4500ms }).size(), 1U);
    EXPECT_FALSE(plan.isDue(false, Time { 5s }));
}

// Guards against reports that repeat unchanged customers, and against hosts that miss a change permanently
// because the report with it was lost.
TEST(ReportPlan, ReportsChangedCustomersAndPeriodicallyAll)
{
    ReportPlan plan;
    const std::vector<Usage> usage { { "acme", 10, 2, 50 }, { "beta", 0, 0, 50 } };
    Time now { 1s };
    EXPECT_EQ(plan.takeUsage(usage, now).size(), 2U);
    EXPECT_TRUE(plan.takeUsage(usage, now += 200ms).empty());
    const auto changed = plan.takeUsage({ { "acme", 11, 2, 50 }, { "beta", 0, 0, 50 } }, now += 200ms);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed.front().customer, "acme");
    std::size_t included = 0;
    for (int i = 0; i < 8; ++i)
        included += plan.takeUsage(usage, now += 200ms).size();
    EXPECT_GE(included, 2U);
}
