#include "fleetsimulation.h"

#include "core/allowance/countingplan.h"
#include "core/allowance/fleetallowance.h"

#include <gtest/gtest.h>

using namespace Allowance;
using namespace std::chrono_literals;
using Model::Time;

namespace {

const Directory::Customer customer { "acme", 100, 100 };

FleetAllowance hostWithPeers(const std::vector<std::string>& hosts, Time now)
{
    FleetAllowance host(hosts.front());
    host.setPeers(hosts, now);
    Directory::Configuration configuration;
    configuration.customers.emplace(customer.name, customer);
    host.setCustomers(configuration, now);
    return host;
}

double available(FleetAllowance& host, Time now) { return host.usage(now).front().available; }

}

// Guards against hosts that assign a customer to different counting hosts, each of which then knows a part of
// its operations only.
TEST(CountingPlan, AllHostsAgree)
{
    CountingPlan first("a");
    CountingPlan second("b");
    first.setHosts({ "a", "b", "c", "d" });
    second.setHosts({ "d", "c", "b", "a" });
    for (int i = 0; i < 100; ++i) {
        const std::string name = "customer-" + std::to_string(i);
        for (const std::string host : { "a", "b", "c", "d" })
            EXPECT_EQ(first.isCountingHost(host, name), second.isCountingHost(host, name));
    }
}

// Guards against a host that leaves and changes the assignments of customers that it did not count, whose
// operations the new counting hosts then do not know.
TEST(CountingPlan, KeepsAssignmentsWhenAnotherHostLeaves)
{
    constexpr int hosts = 100;
    constexpr int customers = 200;
    const std::vector<std::string> all = hostNames(hosts);
    for (const std::string& leaving : all) {
        std::vector<std::string> rest = all;
        std::erase(rest, leaving);
        CountingPlan before("none");
        CountingPlan after("none");
        before.setHosts(all);
        after.setHosts(rest);
        int changed = 0;
        int counted = 0;
        for (int i = 0; i < customers; ++i) {
            const std::string name = "customer-" + std::to_string(i);
            counted += before.isCountingHost(leaving, name) ? 1 : 0;
            changed += before.otherCountingHosts(name) != after.otherCountingHosts(name) ? 1 : 0;
        }
        // The host that counts in its place takes over as many again at most, by the same hash.
        EXPECT_LE(changed, 3 * counted) << leaving;
    }
}

// Guards against operations that are charged twice, by a count and by the report that includes them.
TEST(FleetAllowance, ChargesCountedOperationsOnce)
{
    const Time now { 100s };
    FleetAllowance host = hostWithPeers({ "a", "b" }, now);
    host.receive({ "b", 1, { { "acme", 10, 0, 100 } } }, now);
    const double before = available(host, now);
    host.receiveCounts("b", 1, { { "acme", 13, 3 } }, now);
    EXPECT_DOUBLE_EQ(available(host, now), before - 3);
    host.receiveCounts("b", 1, { { "acme", 13, 3 } }, now);
    host.receive({ "b", 1, { { "acme", 14, 0, 100 } } }, now);
    EXPECT_DOUBLE_EQ(available(host, now), before - 4);
}

// Guards against a count that charges all operations since the start of a host whose reports did not arrive
// yet.
TEST(FleetAllowance, ChargesOnlyRecentOperationsOfUnknownHost)
{
    const Time now { 100s };
    FleetAllowance host = hostWithPeers({ "a", "b" }, now);
    const double before = available(host, now);
    host.receiveCounts("b", 1, { { "acme", 5000, 2 } }, now);
    EXPECT_DOUBLE_EQ(available(host, now), before - 2);
}

// Guards against counts of an earlier process of a host, which arrive late.
TEST(FleetAllowance, IgnoresCountsOfEarlierProcess)
{
    const Time now { 100s };
    FleetAllowance host = hostWithPeers({ "a", "b" }, now);
    host.receive({ "b", 2, { { "acme", 0, 0, 100 } } }, now);
    const double before = available(host, now);
    host.receiveCounts("b", 1, { { "acme", 900, 900 } }, now);
    EXPECT_DOUBLE_EQ(available(host, now), before);
}

// Guards against a host that admits more because one of two counting hosts has missed operations.
TEST(FleetAllowance, UsesTheLowerOfTwoBalances)
{
    const Time now { 100s };
    FleetAllowance host = hostWithPeers({ "a", "b", "c" }, now);
    host.receiveBalances("b", { { "acme", -5 } }, now);
    host.receiveBalances("c", { { "acme", 30 } }, now);
    EXPECT_DOUBLE_EQ(available(host, now), -5);
    host.receiveBalances("c", { { "acme", 30 } }, now + 2s);
    EXPECT_DOUBLE_EQ(available(host, now + 2s), 30);
}

// Guards against a counting host that is cut off from most hosts and makes those that it still reaches refuse
// operations below the limit.
TEST(FleetAllowance, SendsNoBalancesWithoutMostHosts)
{
    Time now { 100s };
    const auto isCounted = [](const std::string&) { return true; };
    FleetAllowance host = hostWithPeers({ "a", "b", "c", "d", "e" }, now);
    std::uint64_t admitted = 0;
    for (int i = 0; i < 3; ++i) {
        now += 200ms;
        admitted += 100;
        for (const std::string peer : { "b", "c", "d", "e" })
            host.receive({ peer, 1, { { "acme", admitted, 50, 0 } } }, now);
    }
    EXPECT_EQ(host.takeBalances(isCounted, now).size(), 1U);
    for (int i = 0; i < 10; ++i) {
        now += 200ms;
        admitted += 100;
        host.receive({ "b", 1, { { "acme", admitted, 50, 0 } } }, now);
    }
    EXPECT_TRUE(host.takeBalances(isCounted, now).empty());
}
