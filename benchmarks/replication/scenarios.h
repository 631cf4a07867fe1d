#pragma once

#include "simulation.h"

/// The network of a deployment of docs/design.md, section 2.4.
struct Deployment {
    std::string name;
    std::vector<std::string> zones;
    /// One-way network latency between two availability zones.
    Model::Duration oneWayLatency {};
};

/// Deployments A and B. A group has three upstreams in both.
const std::vector<Deployment>& deployments();

enum class Mode : std::uint8_t {
    /// Writes are acknowledged after a majority confirmed them, and replicas serve reads.
    Proposed,
    /// Writes are acknowledged without confirmation, and only the primary serves reads.
    Baseline,
};

struct FailoverResult {
    /// The longest time between two acknowledgements since shortly before the fault.
    Model::Duration writeGap {};
    /// Lower bound of the write gap: the detection limit and the round trips of fence, promote, follow and
    /// confirmation.
    Model::Duration floor {};
    std::size_t acknowledged = 0;
    /// Acknowledged writes that are not in the surviving log.
    std::uint64_t lost = 0;
    /// Writes with an unknown outcome.
    std::uint64_t unknown = 0;
    /// Writes rejected without running.
    std::uint64_t refused = 0;
    /// The first violated invariant; empty if there is none.
    std::string failure;
};

enum class Fault : std::uint8_t {
    /// The primary's process ends.
    Crash,
    /// The primary is paused for the rest of the scenario.
    Freeze,
    /// The primary responds to its owner, but a network partition separates it from the replicas.
    PrimaryPartitioned,
    /// Operators take the primary's availability zone out of service.
    Planned,
};

std::string_view faultName(Fault fault);

/// Injects the fault into the primary of a group under load and measures the effect on writes.
FailoverResult runFailover(const Deployment& deployment, Mode mode, Fault fault, std::uint64_t seed);

struct LagResult {
    Model::Duration medianWrite {};
    Model::Duration slowestWrite {};
    /// The share of reads that replicas served, of all reads that ran: 0 to 1.
    double replicaShare = 0;
    std::size_t acknowledged = 0;
};

/// Runs a group without faults and measures writes and reads. The given number of replicas has the
/// replication delay `lag`, the others have none.
LagResult runLag(const Deployment& deployment, Mode mode, Model::Duration lag, std::size_t laggingReplicas,
    std::uint64_t seed);
