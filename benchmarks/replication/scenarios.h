#pragma once

#include "simulation.h"

/// The network and the statement load of a deployment of section 2.4.
struct Deployment {
    std::string name;
    std::vector<std::string> zones;
    /// Between two availability zones, one way.
    Model::Duration oneWayLatency {};
};

/// Deployments A and B; a group has three upstreams.
const std::vector<Deployment>& deployments();

enum class Mode : std::uint8_t {
    Proposed,
    /// Reads from the primary only, and acknowledgement without confirmation.
    Baseline,
};

struct FailoverResult {
    /// The longest time between two acknowledgements around the fault.
    Model::Duration writeGap {};
    /// Detection limit and the round trips of fence, promote, follow and confirmation.
    Model::Duration floor {};
    std::size_t acknowledged = 0;
    std::uint64_t lost = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0;
    std::string failure;
};

enum class Fault : std::uint8_t {
    Crash,
    Freeze,
    /// The primary answers its owner, but no replica reaches it.
    PrimaryPartitioned,
    /// The primary is taken out by operators.
    Planned,
};

std::string_view faultName(Fault fault);

FailoverResult runFailover(const Deployment& deployment, Mode mode, Fault fault, std::uint64_t seed);

struct LagResult {
    Model::Duration medianWrite {};
    Model::Duration slowestWrite {};
    /// Of all reads that ran.
    double replicaShare = 0;
    std::size_t acknowledged = 0;
};

/// Undisturbed work with the given replication delay of all replicas, or of one replica only.
LagResult runLag(const Deployment& deployment, Mode mode, Model::Duration lag, std::size_t laggingReplicas,
    std::uint64_t seed);
