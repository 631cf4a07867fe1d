#include "balancesimulation.h"

#include "../seeds.h"

#include <algorithm>

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 10;
/// Reads per second. An upstream with 4 slots and 14 ms for each read can run 285.
const std::map<std::string, double> calm { { "a", 60 }, { "b", 60 }, { "c", 60 } };

/// A primary and a replica in zone `a`, and a replica in each other zone; the fleet has run for a while.
class Fleet : public BalanceSimulation {
public:
    explicit Fleet(std::mt19937_64& generator)
        : BalanceSimulation(generator())
    {
        addUpstream("p", "a", Directory::Role::Primary);
        addUpstream("q", "a");
        addUpstream("r", "b");
        addUpstream("s", "c");
        run(5s, calm);
    }

    int count(BalanceChange change, const std::string& subject) const
    {
        return static_cast<int>(std::ranges::count(changes(), std::pair(change, subject)));
    }
};

}

// Guards against reads that leave the zone or use the primary without need: traffic between zones costs
// money.
TEST(Balance, CalmReadsStayInZoneAndSparePrimary)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        Fleet fleet(generator);
        const auto counts = fleet.run(10s, calm);
        for (const auto& [zone, count] : counts)
            EXPECT_LE(count.leftZone, count.finished / 50) << zone;
        EXPECT_LE(fleet.receivedRate("p", 10s), 2);
        EXPECT_TRUE(fleet.changes().empty());
    });
}

// Guards against a replica that keeps its reads although it fails 40 % of them, and that gets none after it
// has recovered.
TEST(Balance, FailingReplicaGetsOnlyProbesUntilItRecovers)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        Fleet fleet(generator);
        fleet.upstream("q").failing = 0.4;
        const auto counts = fleet.run(12s, calm);
        EXPECT_EQ(counts.at("a").refused, 0);
        // Six hosts with up to two probes a second.
        EXPECT_LE(fleet.receivedRate("q", 9s), 12);
        EXPECT_GE(fleet.receivedRate("q", 9s), 4);
        EXPECT_GE(fleet.count(BalanceChange::SetAside, "q"), 6);
        fleet.upstream("q").failing = 0;
        fleet.run(12s, calm);
        EXPECT_GE(fleet.receivedRate("q", 3s), 40);
    });
}

// Guards against a slow upstream that gets as many reads as fast ones, and against one that is not used after
// it has become fast again.
TEST(Balance, SlowReplicaGetsFewReadsUntilItRecovers)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        Fleet fleet(generator);
        fleet.upstream("q").execution = 112ms;
        const auto counts = fleet.run(12s, calm);
        EXPECT_EQ(counts.at("a").refused, 0);
        EXPECT_LE(fleet.receivedRate("q", 6s), 8);
        EXPECT_EQ(fleet.count(BalanceChange::SetAside, "q"), 0);
        fleet.upstream("q").execution = 14ms;
        fleet.run(12s, calm);
        EXPECT_GE(fleet.receivedRate("q", 2s), 40);
        EXPECT_LE(fleet.shareLeaving("a"), 0.01);
    });
}

// Guards against reads that stay with an upstream that answers `BUSY` without load.
TEST(Balance, ReadsLeaveUpstreamThatIsBusyWithoutLoad)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        Fleet fleet(generator);
        fleet.upstream("q").falselyBusy = 0.6;
        const auto counts = fleet.run(12s, calm);
        EXPECT_LE(counts.at("a").refused, counts.at("a").finished / 50);
        EXPECT_LE(fleet.receivedRate("q", 4s), 30);
    });
}

// Guards against an overloaded zone beside idle ones, and against its hosts flooding these together.
TEST(Balance, ReadsOfZoneWithMoreCallersLeaveItInSteps)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        Fleet fleet(generator);
        fleet.run(5s, { { "a", 150 }, { "b", 60 }, { "c", 60 } });
        const auto counts = fleet.run(12s, { { "a", 300 }, { "b", 60 }, { "c", 60 } });
        EXPECT_GE(fleet.receivedRate("r", 6s) + fleet.receivedRate("s", 6s), 160);
        EXPECT_LE(counts.at("a").refused, counts.at("a").finished / 100);
        for (const std::string zone : { "b", "c" }) {
            EXPECT_LE(counts.at(zone).refused, counts.at(zone).finished / 100);
            EXPECT_LE(counts.at(zone).retries, counts.at(zone).finished / 5);
        }
        fleet.run(10s, calm);
        EXPECT_EQ(fleet.shareLeaving("a"), 0);
    });
}

// Guards against hosts that shift their reads to and fro between zones that are overloaded alike.
TEST(Balance, OverloadOfAllZonesCausesNoOscillation)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        Fleet fleet(generator);
        const std::map<std::string, double> doubled { { "a", 240 }, { "b", 240 }, { "c", 240 } };
        fleet.run(4s, doubled);
        std::map<std::string, std::pair<double, double>> range;
        for (int second = 0; second < 10; ++second) {
            fleet.run(1s, doubled);
            for (const std::string id : { "q", "r", "s" }) {
                const double rate = fleet.receivedRate(id, 1s);
                auto& [least, most] = range.try_emplace(id, rate, rate).first->second;
                least = std::min(least, rate);
                most = std::max(most, rate);
            }
            for (const std::string zone : { "a", "b", "c" })
                EXPECT_LE(fleet.shareLeaving(zone), 0.4) << zone;
        }
        for (const auto& [id, limits] : range)
            EXPECT_LE(limits.second, 1.7 * limits.first) << id;
    });
}

// Guards against hosts that together send a cold upstream more than its limit in any second, and against one
// that gets all its reads at once afterwards.
TEST(Balance, ColdUpstreamStaysWithinItsLimitAndStartsSlowly)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        Fleet fleet(generator);
        // More hosts (18) than statements per second, and fewer.
        for (const double limit : { 10.0, 25.0 }) {
            const std::string id = "cold-" + std::to_string(static_cast<int>(limit));
            fleet.configuration().services.at("ledger").coldRequestsPerSecond = limit;
            fleet.addUpstream(id, "b", Directory::Role::Replica, 6s);
            fleet.run(5900ms, { { "a", 60 }, { "b", 300 }, { "c", 60 } });
            const auto& received = fleet.upstream(id).received;
            EXPECT_GE(received.size(), 5U);
            for (const Model::Time start : received) {
                EXPECT_LE(std::ranges::count_if(
                              received, [&](Model::Time at) { return at >= start && at < start + 1s; }),
                    limit);
            }
            fleet.run(6s, { { "a", 60 }, { "b", 200 }, { "c", 60 } });
            EXPECT_GE(fleet.receivedRate(id, 2s), 40);
        }
    });
}

// Guards against a new upstream that gets a full share before it has answered anything.
TEST(Balance, ShareOfNewUpstreamGrows)
{
    forEachSeed(seeds, [](std::mt19937_64& generator) {
        Fleet fleet(generator);
        fleet.addUpstream("n", "b");
        fleet.run(500ms, { { "a", 60 }, { "b", 200 }, { "c", 60 } });
        EXPECT_LE(fleet.receivedRate("n", 500ms), 50);
        fleet.run(5s, { { "a", 60 }, { "b", 200 }, { "c", 60 } });
        EXPECT_GE(fleet.receivedRate("n", 2s), 70);
    });
}
