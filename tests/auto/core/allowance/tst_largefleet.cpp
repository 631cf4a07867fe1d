#include "fleetsimulation.h"

#include "core/allowance/countingplan.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace Allowance;
using namespace std::chrono_literals;
using Model::Time;

namespace {

/// The size of the large deployment.
constexpr int hosts = 195;
/// The size of the deployment on which a lowered limit did not hold.
constexpr int smallerFleet = 73;
/// Customers usually send this fraction of their rate, and up to `busyFactor` times that when they are busy.
constexpr double usualFraction = 1 / 1.6;
constexpr double busyFactor = 7.7;
constexpr int retries = 2;

std::vector<Directory::Customer> customers()
{
    return { { "small", 5, 5 }, { "medium", 24, 24 }, { "large", 100, 100 }, { "largest", 235, 235 } };
}

double usualRate(const Directory::Customer& customer) { return customer.rate * usualFraction; }
double busyRate(const Directory::Customer& customer) { return usualRate(customer) * busyFactor; }

/// The indices of the hosts that count the customer's operations.
std::vector<int> countingHosts(const Directory::Customer& customer, int fleetSize = hosts)
{
    CountingPlan plan("host-0");
    plan.setHosts(hostNames(fleetSize));
    std::vector<int> result;
    for (int i = 0; i < fleetSize; ++i) {
        if (plan.isCountingHost("host-" + std::to_string(i), customer.name))
            result.push_back(i);
    }
    return result;
}

/// The most operations in any window that begins `settlingTime` or more after a customer's limit was lowered
/// to a quarter on all but the outdated hosts, while the customer goes on as before.
std::size_t maxAdmittedAfterLowering(
    const Directory::Customer& lowered, const std::vector<int>& outdated, Model::Duration settlingTime)
{
    constexpr double factor = 4;
    const Directory::Customer previous { lowered.name, lowered.rate * factor, lowered.burst * factor };
    FleetSimulation fleet(smallerFleet, previous);
    fleet.setRetries(retries);
    fleet.runEvenly(previous.rate, 7s);
    for (int host = 0; host < smallerFleet; ++host) {
        if (std::ranges::find(outdated, host) == outdated.end())
            fleet.setLimit(host, lowered);
    }
    fleet.runEvenly(previous.rate, settlingTime);
    return maxAdmittedInWindow(fleet.runEvenly(previous.rate, 8s));
}

}

// Guards against an allowance for each host that does not depend on the number of hosts: 195 hosts, each with
// a few operations between two reports, together exceed the limit of a customer that turns busy (QUOTA on
// deployment tsh-approvals-large).
TEST(LargeFleet, CustomerThatTurnsBusyStaysWithinItsLimit)
{
    for (const Directory::Customer& customer : customers()) {
        FleetSimulation fleet(hosts, customer);
        fleet.setRetries(retries);
        fleet.run(std::vector<double>(hosts, 0), 7s);
        const auto admitted = fleet.runEvenly(busyRate(customer), 8s);
        EXPECT_LE(maxAdmittedInWindow(admitted), permittedInWindow(customer)) << customer.name;
    }
}

// Guards against the same where a fifth of the hosts get all the requests.
TEST(LargeFleet, CustomerOfFewHostsThatTurnsBusyStaysWithinItsLimit)
{
    for (const Directory::Customer& customer : customers()) {
        FleetSimulation fleet(hosts, customer);
        fleet.setRetries(retries);
        fleet.run(std::vector<double>(hosts, 0), 7s);
        std::vector<double> rates(hosts, 0);
        for (int i = 0; i < hosts; i += 5)
            rates[static_cast<std::size_t>(i)] = busyRate(customer) * 5 / hosts;
        EXPECT_LE(maxAdmittedInWindow(fleet.run(rates, 8s)), permittedInWindow(customer)) << customer.name;
    }
}

// Guards against a limit that depends on a single counting host, which may be cut off from the others.
TEST(LargeFleet, LimitHoldsWithoutOneCountingHost)
{
    const Directory::Customer customer = customers().back();
    for (const int host : countingHosts(customer)) {
        FleetSimulation fleet(hosts, customer);
        fleet.setRetries(retries);
        fleet.run(std::vector<double>(hosts, 0), 7s);
        fleet.setPartitioned(host, true);
        EXPECT_LE(maxAdmittedInWindow(fleet.runEvenly(busyRate(customer), 8s)), permittedInWindow(customer))
            << host;
    }
}

// Guards against a limit that does not hold while all hosts of a large fleet start again at once.
TEST(LargeFleet, LimitHoldsAfterRestartOfAllHosts)
{
    for (const Directory::Customer& customer : customers()) {
        FleetSimulation fleet(hosts, customer);
        fleet.setRetries(retries);
        fleet.runEvenly(usualRate(customer), 7s);
        std::vector<Time> admitted = fleet.runEvenly(busyRate(customer), 4s);
        for (int host = 0; host < hosts; ++host)
            fleet.restart(host);
        const auto more = fleet.runEvenly(busyRate(customer), 8s);
        admitted.insert(admitted.end(), more.begin(), more.end());
        EXPECT_LE(maxAdmittedInWindow(admitted), permittedInWindow(customer)) << customer.name;
    }
}

// Guards against customers below their rates that are refused for seconds after all hosts started at once,
// because each host reserves shares for all others until these have reported (4,758 refusals in 3 s after a
// loss of power of 65 hosts).
TEST(LargeFleet, RefusesLittleAfterRestartOfAllHosts)
{
    constexpr int fleetSize = 65;
    for (const Directory::Customer& customer : customers()) {
        FleetSimulation fleet(fleetSize, customer);
        fleet.setRetries(retries);
        fleet.runEvenly(usualRate(customer), 7s);
        for (int host = 0; host < fleetSize; ++host)
            fleet.restart(host);
        fleet.runEvenly(usualRate(customer), 500ms);
        fleet.resetCounts();
        fleet.runEvenly(usualRate(customer), 5s);
        EXPECT_LT(static_cast<double>(fleet.refused()), 0.05 * static_cast<double>(fleet.offered()))
            << customer.name << ": " << fleet.refused() << " of " << fleet.offered();
    }
}

// Guards against a lowered limit that does not hold because some hosts still have the previous configuration,
// among them those that count the customer's operations (CONFIG on deployment asahi-bindery-grown).
TEST(LargeFleet, LoweredLimitHoldsAlthoughSomeHostsHaveThePreviousOne)
{
    constexpr std::size_t outdatedHosts = 19;
    for (const Directory::Customer& lowered : customers()) {
        std::vector<int> outdated = countingHosts(lowered, smallerFleet);
        for (int host = 0; outdated.size() < outdatedHosts; ++host) {
            if (std::ranges::find(outdated, host) == outdated.end())
                outdated.push_back(host);
        }
        EXPECT_LE(maxAdmittedAfterLowering(lowered, outdated, 10s), permittedInWindow(lowered))
            << lowered.name;
    }
}

// Guards against a lowered limit that does not hold although all hosts know it.
TEST(LargeFleet, LoweredLimitHoldsOnceAllHostsHaveIt)
{
    for (const Directory::Customer& lowered : customers())
        EXPECT_LE(maxAdmittedAfterLowering(lowered, {}, 5s), permittedInWindow(lowered)) << lowered.name;
}

// Guards against limits that no longer hold at the design size.
TEST(LargeFleet, LimitHoldsAtTheDesignSize)
{
    constexpr int designSize = 810;
    const Directory::Customer customer { "medium", 24, 24 };
    FleetSimulation fleet(designSize, customer);
    fleet.setRetries(retries);
    fleet.run(std::vector<double>(designSize, 0), 26s);
    EXPECT_LE(maxAdmittedInWindow(fleet.runEvenly(busyRate(customer), 7s)), permittedInWindow(customer));
}

// Guards against false refusals of a customer below its rate, and against refusals that continue after it has
// exceeded its rate for a while.
TEST(LargeFleet, RefusesLittleBelowTheRate)
{
    const Directory::Customer customer = customers().back();
    FleetSimulation fleet(hosts, customer);
    fleet.setRetries(retries);
    fleet.runEvenly(usualRate(customer), 12s);
    fleet.resetCounts();
    fleet.runEvenly(usualRate(customer), 10s);
    EXPECT_LT(static_cast<double>(fleet.refused()), 0.01 * static_cast<double>(fleet.offered()));
    fleet.runEvenly(busyRate(customer), 6s);
    fleet.runEvenly(usualRate(customer), 4s);
    fleet.resetCounts();
    fleet.runEvenly(usualRate(customer), 10s);
    EXPECT_LT(static_cast<double>(fleet.refused()), 0.01 * static_cast<double>(fleet.offered()));
}
