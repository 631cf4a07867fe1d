#pragma once

#include "core/model/time.h"

#include <cstdint>

namespace SchedulingSimulation {

/// The order in which queued statements are served.
enum class Order : std::uint8_t {
    /// Start-time fair queueing with equal weights.
    Fair,
    /// First come, first served, with the same bound for the total number of queued statements.
    Arrival,
};

struct Deployment {
    int connectionsPerUpstream;
    /// Time that opening a connection takes.
    Model::Duration openTime;
};

constexpr Deployment deploymentA { 15, std::chrono::milliseconds(10) };
constexpr Deployment deploymentB { 35, std::chrono::milliseconds(25) };

/// The numbers of statements in a run.
struct FloodResult {
    /// The statements served for the worst-served customer, as a percentage of its max-min fair share: the
    /// number that it sent, or an equal share of the capacity that customers with less load leave over.
    double worstPercent = 100;
    std::uint64_t served = 0;
    /// Statements that the full queue rejected.
    std::uint64_t refused = 0;
    /// Statements whose deadline passed in the queue.
    std::uint64_t expired = 0;
    /// Connections opened at all upstreams.
    std::uint64_t opened = 0;
};

/// Runs a group of three upstreams with two execution slots each under the load of eight customers. Seven of
/// them send 80 % of an equal share of the capacity each, one sends `floodFactor` equal shares.
FloodResult flood(const Deployment& deployment, int floodFactor, Order order);

}
