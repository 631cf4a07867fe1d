#pragma once

#include "core/model/time.h"

#include <cstdint>

namespace SchedulingSimulation {

enum class Order : std::uint8_t {
    Fair,
    /// First come, first served, with the same total bound.
    Arrival,
};

struct Deployment {
    int connectionsPerUpstream;
    Model::Duration openTime;
};

constexpr Deployment deploymentA { 15, std::chrono::milliseconds(10) };
constexpr Deployment deploymentB { 35, std::chrono::milliseconds(25) };

struct FloodResult {
    /// Served of the worst-served customer, as a percentage of its fair share: what it sent, or an equal part
    /// of what is left by those that sent less.
    double worstPercent = 100;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    /// Connections opened at all upstreams.
    std::uint64_t opened = 0;
};

/// A group of three upstreams of two slots, and eight customers. Seven send 80 % of an equal part of the
/// capacity; one sends `floodFactor` equal parts.
FloodResult flood(const Deployment& deployment, int floodFactor, Order order);

}
