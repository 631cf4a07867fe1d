#include "scenarios.h"

#include "core/replication/timing.h"

#include <algorithm>
#include <array>

using namespace Replication;

namespace {

constexpr Model::Duration faultAt = 3s;
constexpr Model::Duration scenarioEnd = 14s;
constexpr Model::Duration lagScenarioEnd = 10s;

SimulationSettings settingsFor(const Deployment& deployment, Mode mode, std::uint64_t seed)
{
    return { .seed = seed,
        .hosts = 1,
        .zones = deployment.zones,
        .oneWayLatency = deployment.oneWayLatency,
        .jitter = deployment.oneWayLatency / 10,
        .replicationInterval = 1ms,
        .statementInterval = 20ms,
        .confirmWrites = mode == Mode::Proposed,
        .replicaReads = mode == Mode::Proposed };
}

void inject(Simulation& simulation, Fault fault)
{
    const std::optional<Primary> primary = simulation.group(0).primary(simulation.now());
    const std::size_t member = primary ? std::stoul(primary->member) : 0;
    switch (fault) {
    case Fault::Crash:
        simulation.setDatabaseUp(member, false);
        return;
    case Fault::Freeze:
        simulation.freezeDatabase(member, 1h);
        return;
    case Fault::PrimaryPartitioned:
        simulation.setDatabaseLink(member, (member + 1) % 3, false);
        simulation.setDatabaseLink(member, (member + 2) % 3, false);
        return;
    case Fault::Planned:
        simulation.configure(member, MemberState::ZoneOut);
        return;
    }
}

/// The longest time without an acknowledgement, from 100 ms before the earliest time of the fault to the end.
Model::Duration longestGap(const std::vector<Simulation::Acknowledgement>& acknowledgements)
{
    Model::Duration longest {};
    Model::Time previous = simulated(faultAt - 100ms);
    for (const Simulation::Acknowledgement& ack : acknowledgements) {
        if (ack.at < simulated(faultAt - 100ms))
            continue;
        longest = std::max(longest, ack.at - previous);
        previous = ack.at;
    }
    return std::max(longest, simulated(scenarioEnd) - previous);
}

/// The detection limit and four sequential calls, of two one-way latencies each: fence, promote, follow or
/// execute, and the position poll.
Model::Duration floorOf(const Deployment& deployment, Fault fault)
{
    const Model::Duration calls = 8 * deployment.oneWayLatency;
    switch (fault) {
    case Fault::Crash:
    case Fault::Freeze:
        return unresponsiveLimit + calls;
    case Fault::PrimaryPartitioned:
        return stallLimit + calls;
    case Fault::Planned:
        return calls;
    }
    return calls;
}

}

const std::vector<Deployment>& deployments()
{
    static const std::vector<Deployment> all {
        { "A", { "a", "b", "c" }, 1500us },
        { "B", { "a", "b", "c" }, 500us },
    };
    return all;
}

std::string_view faultName(Fault fault)
{
    static constexpr std::array<std::string_view, 4> names { "crash", "freeze", "cut off", "planned" };
    return names[static_cast<std::size_t>(fault)];
}

FailoverResult runFailover(const Deployment& deployment, Mode mode, Fault fault, std::uint64_t seed)
{
    Simulation simulation(settingsFor(deployment, mode, seed));
    // With a small replication delay, a failed primary has entries that no replica holds, as with
    // asynchronous replication.
    for (std::size_t i = 0; i < deployment.zones.size(); ++i)
        simulation.setLag(i, deployment.oneWayLatency);
    simulation.run(simulated(faultAt) + Model::Duration(simulation.random(500'000)));
    inject(simulation, fault);
    simulation.run(simulated(scenarioEnd));
    simulation.checkSurvivingLog();
    return { .writeGap = longestGap(simulation.acknowledgements()),
        .floor = floorOf(deployment, fault),
        .acknowledged = simulation.acknowledgements().size(),
        .lost = simulation.counts().lostWrites,
        .unknown = simulation.counts().unknown,
        .refused = simulation.counts().refused,
        .failure = simulation.failure() };
}

LagResult runLag(const Deployment& deployment, Mode mode, Model::Duration lag, std::size_t laggingReplicas,
    std::uint64_t seed)
{
    Simulation simulation(settingsFor(deployment, mode, seed));
    simulation.run(simulated(1s));
    const std::optional<Primary> primary = simulation.group(0).primary(simulation.now());
    const std::size_t member = primary ? std::stoul(primary->member) : 0;
    for (std::size_t i = 1; i < deployment.zones.size(); ++i)
        simulation.setLag((member + i) % deployment.zones.size(), i <= laggingReplicas ? lag : 0us);
    const Simulation::Counts before = simulation.counts();
    simulation.run(simulated(lagScenarioEnd));

    std::vector<Model::Duration> latencies;
    for (const Simulation::Acknowledgement& ack : simulation.acknowledgements()) {
        if (ack.arrivedAt >= simulated(1s))
            latencies.push_back(ack.at - ack.arrivedAt);
    }
    if (latencies.empty())
        return {};
    std::ranges::sort(latencies);
    const auto replicaReads = static_cast<double>(simulation.counts().replicaReads - before.replicaReads);
    const auto primaryReads = static_cast<double>(simulation.counts().primaryReads - before.primaryReads);
    return { .medianWrite = latencies[latencies.size() / 2],
        .slowestWrite = latencies.back(),
        .replicaShare = replicaReads / std::max(1.0, replicaReads + primaryReads),
        .acknowledged = latencies.size() };
}
