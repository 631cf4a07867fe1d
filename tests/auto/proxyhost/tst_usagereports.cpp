#include "usagesimulation.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

using Windows = std::vector<Usage::Window>;

/// Long enough for the first window that all hosts have counted as a whole.
constexpr Model::Duration warmUp = 11s;

}

// Guards against a missing or wrong report on a calm day, against calls of hosts that need not report, and
// against more than one read and one transaction per window.
TEST(UsageReports, OneHostReportsEachWindowOnCalmDays)
{
    UsageSimulation fleet(84, 1);
    fleet.run(warmUp);
    const Usage::Window first = fleet.windowNow();
    fleet.runToWindowEnd(4s);
    const int callsBefore = fleet.storeCalls;
    fleet.run(30s);
    EXPECT_EQ(fleet.storeCalls - callsBefore, 2 * 6);
    EXPECT_EQ(fleet.storeCallsByHost.size(), 1U);
    fleet.run(20s);
    EXPECT_EQ(fleet.wrongWindows(first), Windows {});
    fleet.checkRules();
}

// Guards against windows without a report after the reporting host was killed, just before or after it
// acquired the right to report.
TEST(UsageReports, AnotherHostReportsIfHolderIsKilled)
{
    for (const auto delay : { 500ms, 2400ms, 2550ms, 2600ms, 2700ms, 2800ms }) {
        UsageSimulation fleet(20, 2);
        fleet.run(warmUp);
        const Usage::Window first = fleet.windowNow();
        fleet.runToWindowEnd(4s);
        fleet.runToWindowEnd(delay);
        fleet.kill(fleet.holder());
        fleet.run(30s);
        EXPECT_EQ(fleet.wrongWindows(first), Windows {}) << delay.count();
        fleet.checkRules();
    }
}

// Guards against a wrong report by a host that is first in the ranking but has lost its counts, because its
// process started again, or did not receive any, because it was frozen.
TEST(UsageReports, RestartedOrFrozenHolderLeavesReportToOthers)
{
    for (const bool isFrozen : { false, true }) {
        UsageSimulation fleet(30, 3);
        fleet.run(warmUp);
        const Usage::Window first = fleet.windowNow();
        fleet.runToWindowEnd(4s);
        const int holder = fleet.holder();
        if (isFrozen)
            fleet.setFrozen(holder, true);
        else
            fleet.kill(holder);
        fleet.run(3s);
        fleet.setFrozen(holder, false);
        if (!isFrozen)
            fleet.start(holder);
        fleet.run(40s);
        EXPECT_EQ(fleet.wrongWindows(first), Windows {}) << isFrozen;
        fleet.checkRules();
    }
}

// Guards against counts in the wrong window because the wall clock of one host, the reporting one, jumps.
TEST(UsageReports, ClockJumpOfOneHostChangesNothing)
{
    for (const Model::Duration error : { Model::Duration(-4s), Model::Duration(4s) }) {
        UsageSimulation fleet(5, 4);
        fleet.run(warmUp);
        const Usage::Window first = fleet.windowNow();
        fleet.runToWindowEnd(4s);
        fleet.setClockError(fleet.holder(), error);
        fleet.run(40s);
        EXPECT_EQ(fleet.wrongWindows(first), Windows {});
        fleet.checkRules();
    }
}

// Guards against a partitioned host that reports the few counts that it knows before a better informed one.
TEST(UsageReports, PartitionedHostDoesNotReportFirst)
{
    UsageSimulation fleet(12, 5);
    fleet.run(warmUp);
    const Usage::Window first = fleet.windowNow();
    fleet.runToWindowEnd(4s);
    const int holder = fleet.holder();
    fleet.setPartitioned(holder, true);
    fleet.run(20s);
    fleet.setPartitioned(holder, false);
    fleet.run(20s);
    // The statements of the partitioned host are unknown to the others: more than 5 % of twelve hosts.
    std::set<Usage::Window> reported;
    for (const auto& call : fleet.calls()) {
        if (call.isAccepted && call.window >= first)
            reported.insert(call.window);
        const auto expected = fleet.trueCounts().at(call.window).at("acme");
        if (call.window >= first) {
            EXPECT_GE(call.counts.at("acme") * 100, expected * 90) << call.window;
        }
    }
    EXPECT_GE(reported.size(), 9U);
    fleet.checkRules();
}

// Guards against a report that is given up because the store was down for a part of the time until it is due.
TEST(UsageReports, ReportsAfterStoreOutage)
{
    UsageSimulation fleet(10, 6);
    fleet.run(warmUp);
    const Usage::Window first = fleet.windowNow();
    fleet.runToWindowEnd(0s);
    fleet.setStoreDown(true);
    fleet.run(8s);
    fleet.setStoreDown(false);
    fleet.run(30s);
    EXPECT_EQ(fleet.wrongWindows(first), Windows {});
    fleet.checkRules();
}

// Guards against two reports with different counts after the store was restored from a copy without the
// window's row, and the host that wrote the row was killed before or after it sent the report. The other
// hosts know different counts, since a host's last messages reached only the holder.
TEST(UsageReports, RestoredStoreNeverLeadsToDifferentReports)
{
    for (const bool losesProgress : { false, true }) {
        for (const auto delay : { 2500ms, 2600ms, 2700ms, 2800ms, 3000ms }) {
            UsageSimulation fleet(10, 7);
            fleet.run(warmUp);
            fleet.runToWindowEnd(4s);
            fleet.saveCopy();
            fleet.lostMessages = 0.6;
            fleet.losesProgress = losesProgress;
            fleet.runToWindowEnd(delay);
            fleet.kill(fleet.holder());
            fleet.restore();
            fleet.lostMessages = 0;
            fleet.run(30s);
            fleet.checkRules();
        }
    }
}

// Guards against a whole fleet that stops reporting after the store was restored.
TEST(UsageReports, ReportsWindowsAfterStoreWasRestored)
{
    UsageSimulation fleet(10, 8);
    fleet.run(warmUp);
    fleet.saveCopy();
    fleet.runToWindowEnd(4s);
    fleet.restore();
    const Usage::Window first = fleet.windowNow();
    fleet.run(40s);
    EXPECT_EQ(fleet.wrongWindows(first), Windows {});
    fleet.checkRules();
}

// Guards against wrong windows in a large fleet of which some hosts are killed and restarted.
TEST(UsageReports, LargeFleetToleratesKilledAndRestartedHosts)
{
    UsageSimulation fleet(84, 9);
    fleet.run(warmUp);
    const Usage::Window first = fleet.windowNow();
    for (int host = 0; host < 84; host += 7) {
        fleet.run(1700ms);
        fleet.kill(host);
        fleet.run(900ms);
        fleet.start(host);
    }
    fleet.run(20s);
    EXPECT_EQ(fleet.wrongWindows(first), Windows {});
    fleet.checkRules();
}

// Guards against windows that stay without a report, or get a wrong one, because many registered hosts are
// silent. The last counts of killed hosts are lost, which the tolerance of 5 % covers.
TEST(UsageReports, ReportsAfterHalfOfHostsWereKilled)
{
    for (const int parity : { 0, 1 }) {
        UsageSimulation fleet(84, 10);
        fleet.run(warmUp);
        const Usage::Window first = fleet.windowNow();
        fleet.runToWindowEnd(3s);
        for (int host = parity; host < 84; host += 2)
            fleet.kill(host);
        fleet.run(40s);
        EXPECT_EQ(fleet.wrongWindows(first), Windows {}) << parity;
        fleet.checkRules();
    }
}

// Guards against violations that only an unforeseen sequence of faults leads to.
TEST(UsageReports, RulesHoldUnderRandomFaults)
{
    for (unsigned seed = 100; seed < 200; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        UsageSimulation fleet(6, seed);
        fleet.lostMessages = 0.3;
        fleet.repeatedMessages = 0.2;
        fleet.lostAnswers = 0.2;
        fleet.run(warmUp);
        for (int i = 0; i < 40; ++i) {
            const int host = static_cast<int>(random() % 6);
            switch (random() % 8) {
            case 0:
                fleet.kill(host);
                break;
            case 1:
                fleet.start(host);
                break;
            case 2:
                fleet.setFrozen(host, true);
                break;
            case 3:
                fleet.setPartitioned(host, random() % 2 == 0);
                break;
            case 4:
                fleet.setStoreDown(random() % 2 == 0);
                break;
            case 5:
                fleet.saveCopy();
                break;
            case 6:
                fleet.restore();
                break;
            default:
                for (int other = 0; other < 6; ++other)
                    fleet.setClockError(other, {});
                fleet.setClockError(host, std::chrono::seconds(random() % 7) - 3s);
                break;
            }
            fleet.run(std::chrono::milliseconds(random() % 2500));
            fleet.setFrozen(host, false);
        }
        fleet.checkRules();
    }
}
