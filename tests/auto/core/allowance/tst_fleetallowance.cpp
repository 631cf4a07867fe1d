#include "fleetsimulation.h"

#include "core/allowance/fleetallowance.h"

#include <gtest/gtest.h>

using namespace Allowance;
using namespace std::chrono_literals;
using Model::Time;

namespace {

const Directory::Customer customer { "acme", 100, 100 };

}

// Guards against limits that apply to each host alone, with which nine hosts admit nine times the rate (seen
// in run quiet-1 of deployment tsh-approvals: 188 operations where 178 were allowed).
TEST(FleetAllowance, NineHostsStayWithinTheLimit)
{
    FleetSimulation fleet(9, customer);
    EXPECT_LE(maxAdmittedInWindow(fleet.run(std::vector<double>(9, 60), 20s)), permittedInWindow(customer));
}

// Guards against shares that do not follow the demand: if one of nine hosts receives all requests, they are
// refused below the rate, or admitted above it.
TEST(FleetAllowance, SingleBusyHostCanUseTheWholeRate)
{
    FleetSimulation fleet(9, customer);
    std::vector<double> rates(9, 0);
    rates[3] = 75;
    fleet.run(rates, 10s);
    fleet.resetCounts();
    fleet.run(rates, 20s);
    EXPECT_LT(static_cast<double>(fleet.refused()), 0.005 * static_cast<double>(fleet.offered()));
    rates[3] = 500;
    EXPECT_LE(maxAdmittedInWindow(fleet.run(rates, 20s)), permittedInWindow(customer));
}

// Guards against false refusals below the rate because shares follow too slowly when the demand moves from
// host to host.
TEST(FleetAllowance, RefusesLittleBelowTheRateWithShiftingDemand)
{
    FleetSimulation fleet(9, customer);
    fleet.run(std::vector<double>(9, 7), 5s);
    fleet.resetCounts();
    for (std::size_t busy = 0; busy < 9; ++busy) {
        std::vector<double> rates(9, 3);
        rates[busy] = 39;
        fleet.run(rates, 3s);
    }
    EXPECT_LT(static_cast<double>(fleet.refused()), 0.005 * static_cast<double>(fleet.offered()));
}

// Guards against a partitioned host that uses the whole rate because it receives no reports.
TEST(FleetAllowance, PartitionedHostsStayWithinTheirShares)
{
    FleetSimulation fleet(9, customer);
    fleet.run(std::vector<double>(9, 10), 5s);
    fleet.setPartitioned(0, true);
    fleet.setPartitioned(1, true);
    EXPECT_LE(maxAdmittedInWindow(fleet.run(std::vector<double>(9, 60), 9s)), permittedInWindow(customer));
}

// Guards against exceeding the limit in a large fleet, where reports are rare: with 76 hosts, each host sees
// only a few requests of a customer that sends several times its limit.
TEST(FleetAllowance, LargeFleetStaysWithinTheLimit)
{
    FleetSimulation fleet(76, customer);
    fleet.run(std::vector<double>(76, 0.5), 6s);
    EXPECT_LE(
        maxAdmittedInWindow(fleet.run(std::vector<double>(76, 7.5 * 0.8), 20s)), permittedInWindow(customer));
    EXPECT_LE(maxAdmittedInWindow(fleet.run(std::vector<double>(76, 20), 10s)), permittedInWindow(customer));
}

// Guards against false refusals below the rate in a large fleet, where each host's share is small.
TEST(FleetAllowance, LargeFleetRefusesLittleBelowTheRate)
{
    FleetSimulation fleet(76, customer);
    fleet.run(std::vector<double>(76, 0.8), 6s);
    fleet.resetCounts();
    fleet.run(std::vector<double>(76, 0.8), 20s);
    EXPECT_LT(static_cast<double>(fleet.refused()), 0.01 * static_cast<double>(fleet.offered()));
}

// Guards against refusals that cause further refusals: retries count as additional demand, so that after an
// overload the fleet refused a fifth of all requests permanently (run quiet-1 of deployment
// tsh-approvals-grown).
TEST(FleetAllowance, LargeFleetRecoversFromOverloadWithRetries)
{
    FleetSimulation fleet(76, customer);
    fleet.setRetries(2);
    fleet.run(std::vector<double>(76, 3), 5s);
    fleet.run(std::vector<double>(76, 0.8), 5s);
    fleet.resetCounts();
    fleet.run(std::vector<double>(76, 0.8), 20s);
    EXPECT_LT(static_cast<double>(fleet.refused()), 0.01 * static_cast<double>(fleet.offered()));
}

// Guards against false refusals for a customer whose share per host is far below one operation per report
// period.
TEST(FleetAllowance, LargeFleetRefusesLittleOfCustomerWithLowRate)
{
    FleetSimulation fleet(76, { "acme", 24, 24 });
    fleet.setRetries(2);
    fleet.run(std::vector<double>(76, 0.2), 6s);
    fleet.resetCounts();
    fleet.run(std::vector<double>(76, 0.2), 20s);
    EXPECT_LT(static_cast<double>(fleet.refused()), 0.01 * static_cast<double>(fleet.offered()));
}

// Guards against a restarted host that starts with a full bucket, so that restarts exceed the limit.
TEST(FleetAllowance, RestartedHostsGetNoNewBurst)
{
    FleetSimulation fleet(9, customer);
    std::vector<Time> admitted = fleet.run(std::vector<double>(9, 60), 5s);
    for (int host = 0; host < 9; ++host) {
        fleet.restart(host);
        const auto more = fleet.run(std::vector<double>(9, 60), 600ms);
        admitted.insert(admitted.end(), more.begin(), more.end());
    }
    EXPECT_LE(maxAdmittedInWindow(admitted), permittedInWindow(customer));
}

// Guards against the burst of each host of a restarted fleet: a host that reads the configuration before the
// list of hosts takes itself for the only one.
TEST(FleetAllowance, HostsThatDoNotKnowTheOthersGetNoBurst)
{
    constexpr int count = 195;
    const std::vector<std::string> names = hostNames(count);
    Directory::Configuration configuration;
    configuration.customers.emplace(customer.name, customer);
    int admitted = 0;
    for (const std::string& name : names) {
        FleetAllowance host(name);
        Time now { 100s };
        host.setCustomers(configuration, now);
        now += 20ms;
        for (int i = 0; i < 200; ++i)
            admitted += host.admit(customer, now) ? 1 : 0;
        host.setPeers(names, now);
        for (int i = 0; i < 200; ++i)
            admitted += host.admit(customer, now) ? 1 : 0;
    }
    EXPECT_LE(admitted, static_cast<int>(customer.burst));
}

// Guards against a delayed or duplicate report that returns tokens to the bucket. Reports of an earlier
// incarnation are outdated as well.
TEST(FleetAllowance, IgnoresOutdatedReports)
{
    const Time now { 100s };
    FleetAllowance host("a");
    host.setPeers({ "a", "b" }, now);
    Directory::Configuration configuration;
    configuration.customers.emplace(customer.name, customer);
    host.setCustomers(configuration, now);
    host.receive({ "b", 2, { { "acme", 10, 10, 90 } } }, now + 2s);
    host.receive({ "b", 2, { { "acme", 60, 10, 40 } } }, now + 2s);
    const double before = host.usage(now + 2s).front().available;
    host.receive({ "b", 2, { { "acme", 20, 10, 80 } } }, now + 2s);
    host.receive({ "b", 1, { { "acme", 900, 10, 0 } } }, now + 2s);
    EXPECT_DOUBLE_EQ(host.usage(now + 2s).front().available, before);
}

// Guards against buckets that are kept for customers that the configuration no longer contains.
TEST(FleetAllowance, RemovesBucketsOfDeletedCustomers)
{
    FleetAllowance host("a");
    host.setPeers({ "a" }, Time { 1s });
    EXPECT_TRUE(host.admit(customer, Time { 1s }));
    EXPECT_EQ(host.usage(Time { 1s }).size(), 1U);
    host.setCustomers({}, Time { 2s });
    EXPECT_TRUE(host.usage(Time { 2s }).empty());
}

// Guards against halving the estimated rate of an idle host more than once per report. The other hosts would
// take it for idle too early and use its share while it still admits operations.
TEST(FleetAllowance, HalvesEstimateOfIdleHostOncePerReport)
{
    const Directory::Customer wide { "acme", 100, 1000 };
    Directory::Configuration configuration;
    configuration.customers.emplace(wide.name, wide);
    FleetAllowance allowance("a");
    Time now { 1s };
    allowance.setPeers({ "a", "b" }, now);
    allowance.setCustomers(configuration, now);
    std::uint64_t admitted = 0;
    for (int i = 0; i < 20; ++i) {
        now += 200ms;
        allowance.receive({ "b", 1, { { "acme", admitted += 10, 50, 500 } } }, now);
        allowance.usage(now);
    }
    // Host b admits 50/s of the rate of 100/s. Its next report includes no customer.
    now += 200ms;
    allowance.receive({ "b", 1, {} }, now);
    const double before = allowance.usage(now).front().available;
    now += 100ms;
    // The estimate for b is half of 50/s, so that 75/s remain.
    EXPECT_NEAR(allowance.usage(now).front().available - before, 7.5, 0.1);
}

// Guards against an exceeded limit that the log does not show, or that fills the log.
TEST(FleetAllowance, ReportsExceededLimitOnce)
{
    const Time now { 100s };
    FleetAllowance host("a");
    host.setPeers({ "a", "b", "c" }, now);
    Directory::Configuration configuration;
    configuration.customers.emplace(customer.name, customer);
    host.setCustomers(configuration, now);
    host.receive({ "b", 1, { { "acme", 0, 10, 100 } } }, now);
    host.receive({ "b", 1, { { "acme", 100, 10, 0 } } }, now);
    EXPECT_TRUE(host.takeOverruns(now).empty());
    host.receive({ "b", 1, { { "acme", 300, 10, 0 } } }, now);
    const auto overruns = host.takeOverruns(now);
    ASSERT_EQ(overruns.size(), 1U);
    EXPECT_EQ(overruns.front().customer, "acme");
    EXPECT_GT(overruns.front().excess, 100);
    EXPECT_EQ(overruns.front().liveHosts, 3);
    EXPECT_EQ(overruns.front().admittingHosts, 2);
    EXPECT_EQ(overruns.front().startedHosts, 2);
    EXPECT_TRUE(host.takeOverruns(now).empty());
}
