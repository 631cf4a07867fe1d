#include "fleet.h"

#include "core/membership/timing.h"

#include <algorithm>
#include <ctime>

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace Membership;

namespace {

/// TCP, IP, ZeroMQ and CURVE headers of one message, in bytes.
constexpr double framingBytes = 130;
/// Share of messages that are lost, so that the results include the recovery from losses.
constexpr double lossRate = 0.01;

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

/// Reports a successful store access and a read of the roster to all hosts.
void simulateStoreReads(Fleet& fleet)
{
    for (SimulatedHost& host : fleet.hosts) {
        host.contact->storeSucceeded(host.localTime(fleet.now));
        host.contact->setRoster(fleet.roster, host.localTime(fleet.now), RosterSource::Store);
    }
}

void runConnected(Fleet& fleet, int seconds)
{
    for (int i = 0; i < seconds; ++i) {
        simulateStoreReads(fleet);
        fleet.run(1s);
    }
}

/// Runs the simulation until the condition is true for `share` of the running hosts. Returns the simulated
/// time in seconds; -1 if this takes more than a minute.
double secondsUntil(Fleet& fleet, double share, const std::function<bool(const SimulatedHost&)>& condition)
{
    const Time start = fleet.now;
    while (fleet.now - start < 60s) {
        const auto running = std::ranges::count_if(fleet.hosts, &SimulatedHost::running);
        const auto count = std::ranges::count_if(
            fleet.hosts, [&](const SimulatedHost& host) { return host.running && condition(host); });
        if (static_cast<double>(count) >= share * static_cast<double>(running))
            return std::chrono::duration<double>(fleet.now - start).count();
        if (fleet.now.time_since_epoch() % 1s < 100ms)
            simulateStoreReads(fleet);
        fleet.run(100ms);
    }
    return -1;
}

/// Runs `run` for the given simulated time and adds counters with the prefix `label`: processor time in
/// percent of a core, messages and bytes, per host and second.
void countTraffic(Fleet& fleet, benchmark::State& state, const std::string& label, int seconds,
    const std::function<void(Fleet&, int)>& run)
{
    for (SimulatedHost& host : fleet.hosts)
        host.sentMessages = host.sentBytes = 0;
    const double before = processorSeconds();
    run(fleet, seconds);
    const double hostSeconds = static_cast<double>(seconds) * static_cast<double>(fleet.hosts.size());
    state.counters[label + "_core_percent"] = 100 * (processorSeconds() - before) / hostSeconds;
    double messages = 0;
    double bytes = 0;
    for (const SimulatedHost& host : fleet.hosts) {
        messages += static_cast<double>(host.sentMessages);
        bytes += static_cast<double>(host.sentBytes) + static_cast<double>(host.sentMessages) * framingBytes;
    }
    state.counters[label + "_messages"] = messages / hostSeconds;
    state.counters[label + "_bytes"] = bytes / hostSeconds;
}

}

/// Measures, per host and second, the messages and bytes sent and the processor time including that of the
/// simulation, in normal operation and during a store outage. Also measures the time, in protocol rounds of
/// 1 s, until the death of a host is detected and until half and 99 % of the hosts know of it.
static void BM_Fleet(benchmark::State& state)
{
    for ([[maybe_unused]] auto _ : state) {
        const auto allocatedBefore = mallinfo2().uordblks;
        const int hosts = static_cast<int>(state.range(0));
        Fleet fleet(
            { .hosts = hosts, .seed = 1, .withStore = false, .loss = lossRate, .tickInterval = 100ms });
        runConnected(fleet, 240);
        const auto allocated = static_cast<double>(mallinfo2().uordblks - allocatedBefore);
        state.counters["kib_per_host"] = allocated / 1024 / hosts;
        countTraffic(fleet, state, "normal", 10, runConnected);

        SimulatedHost& dead = fleet.hosts[static_cast<std::size_t>(hosts) / 2];
        fleet.crash(dead);
        const auto isDead = [&](const SimulatedHost& host) { return !fleet.viewOf(host, dead)->isLive(); };
        const double first = secondsUntil(fleet, 0.5 / hosts, isDead);
        state.counters["detected"] = first;
        state.counters["known_by_half"] = first + secondsUntil(fleet, 0.5, isDead);
        state.counters["known_by_99_percent"]
            = state.counters["known_by_half"] + secondsUntil(fleet, 0.99, isDead);

        double isolated = 0;
        countTraffic(fleet, state, "outage", 40, [&](Fleet& each, int seconds) {
            for (int i = 0; i < seconds * 10; ++i) {
                each.run(100ms);
                isolated
                    += static_cast<double>(std::ranges::count_if(each.hosts, [&](const SimulatedHost& host) {
                           return host.running && each.contactState(host) == ContactState::Isolated;
                       }));
            }
        });
        state.counters["outage_isolated_host_seconds"] = isolated / 10;
    }
}
BENCHMARK(BM_Fleet)->Arg(9)->Arg(50)->Arg(200)->Arg(810)->Iterations(1)->Unit(benchmark::kSecond);

BENCHMARK_MAIN();
