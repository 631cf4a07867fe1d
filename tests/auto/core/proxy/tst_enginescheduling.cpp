#include "../seeds.h"
#include "slotsimulation.h"

#include <algorithm>

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Model::Time start { std::chrono::seconds(100) };
/// When the load of a test rises, after the engine has measured the statements for a while.
constexpr Model::Time riseAt = start + 3s;
constexpr Model::Time end = start + 8s;
/// All requests have been answered by then.
constexpr Model::Time settled = end + 3s;
constexpr int customers = 20;
constexpr std::uint64_t seeds = 5;

std::string customer(int number) { return "customer" + std::to_string(number); }

/// The time limits of the routes of an overloaded fleet.
void addRoutes(SlotSimulation& simulation)
{
    simulation.addRoute("sale", Directory::RouteKind::Primary, 0, 150ms, 800ms);
    simulation.addRoute("stamp", Directory::RouteKind::OwnWrites, 1, 250ms, 800ms);
    simulation.addRoute("browse", Directory::RouteKind::Bounded, 2, 800ms, 1500ms);
}

/// The load of a customer on each route. That of all customers takes about half of the slots if `factor`
/// is 1.
std::vector<SlotSimulation::Load> loads(int number, double factor, Model::Time from, Model::Time until)
{
    const double share = factor / customers;
    return { { "sale", customer(number), 60 * share, 0.35, 0.4, 4500us, {}, from, until },
        { "stamp", customer(number), 240 * share, 0.12, 0.12, 14ms, {}, from, until },
        { "browse", customer(number), 60 * share, 0, 0.1, 22ms, {}, from, until } };
}

void addLoad(SlotSimulation& simulation, double factor, Model::Time from, Model::Time until)
{
    for (int number = 0; number < customers; ++number) {
        for (const SlotSimulation::Load& load : loads(number, factor, from, until))
            simulation.add(load);
    }
}

std::vector<Decision> decisions(const SlotSimulation& simulation, DecisionKind kind)
{
    std::vector<Decision> result;
    std::ranges::copy_if(simulation.decisions(), std::back_inserter(result),
        [kind](const Decision& decision) { return decision.kind == kind; });
    return result;
}

}

// Guards against an order that costs callers something while there is no overload, and against a connection
// opened for nearly every operation.
TEST(EngineScheduling, ServesAllOnTimeWithoutOverload)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        SlotSimulation simulation(generator());
        addRoutes(simulation);
        addLoad(simulation, 1, start, end);
        simulation.run(settled);
        EXPECT_EQ(simulation.busyAnswers(), 0);
        for (const char* route : { "sale", "stamp", "browse" })
            EXPECT_GE(simulation.total(route).onTimeShare(), 0.99) << route;
        EXPECT_LT(simulation.opened() * 10, simulation.completedStatements());
        EXPECT_EQ(simulation.engine().schedulingStats().waiting, 0U);
    });
}

// Guards against a burst of the least urgent route that delays the others, and against its starvation.
TEST(EngineScheduling, BurstOfLeastUrgentRouteSparesTheOthers)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        SlotSimulation simulation(generator());
        addRoutes(simulation);
        addLoad(simulation, 1.8, start, end);
        // Another 1.5 times the load of that route alone.
        for (int number = 0; number < customers; ++number)
            simulation.add(loads(number, 1.5 * 1.8, riseAt, end).back());
        simulation.run(settled);
        EXPECT_EQ(simulation.busyAnswers(), 0);
        EXPECT_GE(simulation.total("sale").onTimeShare(), 0.95);
        EXPECT_GE(simulation.total("stamp").onTimeShare(), 0.95);
        EXPECT_GE(simulation.total("browse").servedShare(), 0.5);
    });
}

// Guards against a customer with 7.5 times its usual load that takes the turns of others, also if there are
// fewer connections than customers.
TEST(EngineScheduling, BusyCustomerDoesNotDelayOthers)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        for (const int connections : { 56, 12 }) {
            SlotSimulation simulation(generator(), connections);
            addRoutes(simulation);
            addLoad(simulation, 1.4, start, end);
            // A quarter of all callers belongs to this customer.
            for (const SlotSimulation::Load& load : loads(0, 1.4 * 7.5, riseAt, end))
                simulation.add(load);
            simulation.run(settled);
            EXPECT_EQ(simulation.busyAnswers(), 0);
            for (int number = 1; number < customers; ++number)
                EXPECT_GE(simulation.ofCustomer(customer(number)).servedShare(), 0.95) << number;
        }
    });
}

// Guards against an overload that lasts because all callers of failed hosts come back at once: while it
// lasts, urgent requests are served first and about as much work is done as without it; then it is over.
TEST(EngineScheduling, RecoversAfterCallersOfFailedHostsRetryAtOnce)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        SlotSimulation simulation(generator());
        addRoutes(simulation);
        addLoad(simulation, 1.4, start, riseAt);
        addLoad(simulation, 2.8, riseAt, end);
        for (int operation = 0; operation < 20 * customers; ++operation) {
            for (const SlotSimulation::Load& load : loads(operation % customers, 1, start, end))
                simulation.addOperation(load, riseAt + operation * 50us);
        }
        addLoad(simulation, 1, settled, settled + 3s);
        simulation.run(settled);
        EXPECT_EQ(simulation.busyAnswers(), 0);
        const auto sale = simulation.total("sale");
        const auto stamp = simulation.total("stamp");
        const auto browse = simulation.total("browse");
        EXPECT_GE(sale.servedShare(), 0.95);
        EXPECT_GE(sale.onTimeShare(), stamp.onTimeShare());
        EXPECT_GE(stamp.onTimeShare(), browse.onTimeShare());
        EXPECT_GT(browse.servedShare(), 0.2);
        // Late requests do not take the slots of those that can be on time.
        EXPECT_GT(stamp.onTime, 2 * stamp.late);
        const int failedBefore = sale.failed + stamp.failed + browse.failed;
        simulation.run(settled + 6s);
        const int failed = simulation.total("sale").failed + simulation.total("stamp").failed
            + simulation.total("browse").failed;
        EXPECT_EQ(failed, failedBefore);
    });
}

// Guards against callers that are idle in transactions and thereby keep others from slots: they hold
// connections, but no slots.
TEST(EngineScheduling, IdleTransactionsHoldNoSlots)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        SlotSimulation simulation(generator(), 30);
        addRoutes(simulation);
        addLoad(simulation, 1, start, end);
        // 20 of the 30 connections to the primary are held by idle transactions.
        for (int number = 0; number < customers; ++number)
            simulation.add({ "sale", customer(number), 1, 0.35, 1, 4500us, 1s, riseAt, end });
        simulation.run(settled);
        EXPECT_EQ(simulation.busyAnswers(), 0);
        for (const char* route : { "sale", "stamp", "browse" })
            EXPECT_GE(simulation.total(route).onTimeShare(), 0.95) << route;
    });
}

// Guards against requests that fail because other hosts use the slots too: `Busy` counts as no attempt and
// aborts no transaction.
TEST(EngineScheduling, SharesSlotsWithOtherHosts)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        SlotSimulation simulation(generator());
        addRoutes(simulation);
        simulation.setForeignSlots(2);
        addLoad(simulation, 0.7, start, end);
        simulation.run(settled);
        EXPECT_GT(simulation.busyAnswers(), 0);
        EXPECT_LT(simulation.busyAnswers() * 10, simulation.completedStatements());
        EXPECT_EQ(simulation.engine().schedulingStats().busyAnswers, std::uint64_t(simulation.busyAnswers()));
        EXPECT_TRUE(decisions(simulation, DecisionKind::TransactionAborted).empty());
        for (const char* route : { "sale", "stamp", "browse" })
            EXPECT_GE(simulation.total(route).onTimeShare(), 0.95) << route;
    });
}

// Guards against a refusal without the reason and the values on which it was based, or without the time after
// which the caller should return; and against requests that wait to their time limit in vain.
TEST(EngineScheduling, RefusesAtOnceWhatCannotBeServedInTime)
{
    SlotSimulation simulation(1);
    addRoutes(simulation);
    addLoad(simulation, 1, start, riseAt);
    addLoad(simulation, 4, riseAt, end);
    simulation.run(settled);
    const auto refused = decisions(simulation, DecisionKind::RequestRefusedByEstimate);
    ASSERT_FALSE(refused.empty());
    EXPECT_EQ(refused.size(), simulation.engine().schedulingStats().refusedByEstimate);
    EXPECT_TRUE(decisions(simulation, DecisionKind::RequestRefused).empty());
    EXPECT_NE(refused.front().inputs.find("estimateMs="), std::string::npos);
    EXPECT_NE(simulation.lastError().find("; retry after "), std::string::npos);
    const auto atOnce = std::ranges::count(refused, Model::Duration {}, &Decision::age);
    EXPECT_GT(atOnce, 0);
}
