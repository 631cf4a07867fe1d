#include "fleet.h"

#include "core/membership/ownership.h"

#include <cstdlib>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

using namespace Membership;

namespace {

constexpr std::uint64_t threadCount = 4;

/// Runs `scenario` for many seeds. A scenario returns what went wrong, or nothing. MEMBERSHIP_SEED runs a
/// single seed.
void runSeeds(std::uint64_t count, const std::function<std::string(std::uint64_t)>& scenario)
{
    if (const char* single = std::getenv("MEMBERSHIP_SEED")) {
        EXPECT_EQ(scenario(std::strtoull(single, nullptr, 10)), "");
        return;
    }
    std::mutex mutex;
    std::map<std::uint64_t, std::string> failures;
    std::vector<std::thread> threads;
    for (std::uint64_t first = 1; first <= threadCount; ++first) {
        threads.emplace_back([&, first] {
            for (std::uint64_t seed = first; seed <= count; seed += threadCount) {
                if (std::string failure = scenario(seed); !failure.empty()) {
                    const std::scoped_lock lock(mutex);
                    failures[seed] = std::move(failure);
                }
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_TRUE(failures.empty()) << failures.size() << " of " << count
                                  << " seeds fail; MEMBERSHIP_SEED=" << failures.begin()->first << ": "
                                  << failures.begin()->second;
}

std::string ownersOf(const SimulatedHost& host)
{
    const std::vector<Zone> zones { { "zone-0", "a", ZoneState::In }, { "zone-1", "a", ZoneState::In },
        { "zone-2", "b", ZoneState::In }, { "zone-3", "b", ZoneState::Out } };
    const std::vector<std::string> upstreamZones { "zone-0", "zone-2", "zone-3" };
    std::vector<Member> members;
    for (const auto& [name, member] : host.gossip->members())
        members.push_back(member);
    std::string owners;
    for (int service = 0; service < 5; ++service)
        owners += ownerOf("service-" + std::to_string(service), upstreamZones, members, zones).value_or("-")
            + ' ';
    return owners;
}

/// One random fault that ends by itself.
void injectFault(Fleet& fleet, Time start, Duration duration)
{
    auto& generator = fleet.generator;
    SimulatedHost& host = fleet.hosts[generator() % fleet.hosts.size()];
    const std::uint64_t pattern = generator();
    const auto eachHost = [&fleet](auto change) {
        for (std::size_t i = 0; i < fleet.hosts.size(); ++i)
            change(fleet.hosts[i], i);
    };
    switch (generator() % 8) {
    case 0: // Partition along regions, or along an arbitrary line; the store is on one or both sides.
        fleet.at(start, [=] {
            eachHost([&](SimulatedHost& each, std::size_t i) {
                each.group = static_cast<int>(pattern & 1 ? i % 4 / 2 : pattern >> (i + 8) & 1);
                if (pattern & 2)
                    each.reachesStore = each.group == 0;
            });
        });
        break;
    case 1: // Store outage for all.
        fleet.at(
            start, [=] { eachHost([](SimulatedHost& each, std::size_t) { each.reachesStore = false; }); });
        break;
    case 2: // Only some hosts reach the store.
        fleet.at(start, [=] {
            eachHost(
                [&](SimulatedHost& each, std::size_t i) { each.reachesStore = (pattern >> i & 3) == 0; });
        });
        break;
    case 3:
        fleet.at(start, [&fleet, &host, duration] { fleet.pause(host, duration); });
        break;
    case 4:
        fleet.at(start, [&fleet, &host] { fleet.crash(host); });
        break;
    case 5: // Cut off from all hosts, with or without the store.
        fleet.at(start, [&host, pattern] {
            host.group = 7;
            host.reachesStore = pattern & 1;
        });
        break;
    case 6:
        fleet.at(start, [&host, pattern] {
            host.mute = true;
            host.reachesStore = pattern & 1;
        });
        break;
    default:
        fleet.at(start, [&fleet, pattern] { fleet.options.loss = static_cast<double>(pattern % 60) / 100; });
    }
    fleet.at(start + duration, [&fleet, eachHost] {
        fleet.options.loss = 0.02;
        eachHost([&](SimulatedHost& each, std::size_t) {
            each.group = 0;
            each.mute = false;
            each.reachesStore = true;
            if (!each.running)
                fleet.restart(each);
        });
    });
}

}

// Guards against two holders of one slot, and against a fleet that does not recover after its faults.
TEST(FleetSimulation, OneHolderPerSlotAndRecoveryUnderRandomFaults)
{
    runSeeds(2000, [](std::uint64_t seed) -> std::string {
        FleetOptions options { .hosts = 3 + static_cast<int>(seed % 4), .seed = seed, .loss = 0.02 };
        options.duplicates = 0.02;
        options.late = 0.02;
        options.lostStoreResponses = 0.02;
        options.drift = 0.01;
        Fleet fleet(options);
        std::string failure;
        fleet.check = [&] {
            for (std::size_t slot = 0; slot < fleet.slots.size() && failure.empty(); ++slot) {
                const auto serving = fleet.servingHosts(static_cast<int>(slot));
                if (serving.size() > 1) {
                    failure = "slot " + std::to_string(slot) + " is served by " + serving[0]->name + " and "
                        + serving[1]->name + " at " + std::to_string((fleet.now - Time(1h)) / Duration(1ms))
                        + " ms";
                }
            }
        };
        Time start = fleet.now + 5s;
        const std::size_t faults = 1 + fleet.generator() % 2;
        for (std::size_t i = 0; i < faults; ++i) {
            const auto duration
                = Duration(5s) + Duration(static_cast<std::int64_t>(fleet.generator() % 50'000'000));
            injectFault(fleet, start, duration);
            start += Duration(static_cast<std::int64_t>(fleet.generator() % 40'000'000));
        }
        fleet.run(150s);
        // A suspicion that a lost message causes is a correct view at that moment.
        fleet.options.loss = fleet.options.late = 0;
        fleet.run(10s);
        if (!failure.empty())
            return failure;
        if (!fleet.hasConverged())
            return "views have not converged";
        for (const SimulatedHost& host : fleet.hosts) {
            if (fleet.contactState(host) != ContactState::Connected)
                return host.name + " is not connected";
            if (ownersOf(host) != ownersOf(fleet.hosts.front()))
                return "owners differ";
        }
        for (std::size_t slot = 0; slot < fleet.slots.size(); ++slot) {
            if (fleet.servingHosts(static_cast<int>(slot)).size() != 1)
                return "slot " + std::to_string(slot) + " has no holder";
        }
        return {};
    });
}
