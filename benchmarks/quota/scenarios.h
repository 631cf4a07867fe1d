#pragma once

#include "fleet.h"

namespace QuotaSimulation {

struct Comparison {
    std::uint64_t requests = 0;
    /// Requests within the limits that were refused.
    std::uint64_t wrongful = 0;
    /// The same, with the rate split evenly over the hosts.
    std::uint64_t wrongfulEvenSplit = 0;
    /// Requests that were admitted after waiting for tokens.
    std::uint64_t waited = 0;
};

/// `payloadPerHostSecond` and `wirePerHostSecond` are in bytes; see `Counters`.
struct Traffic {
    double messagesPerHostSecond = 0;
    double payloadPerHostSecond = 0;
    double wirePerHostSecond = 0;
    std::uint64_t requests = 0;
    std::uint64_t wrongful = 0;
    std::uint64_t waited = 0;
};

/// Nine hosts and eight customers, each sending 80 % of its rate, of which `skewPercent` arrive at one host.
/// `delay` is the one-way delay between hosts.
Comparison skewedTraffic(Model::Duration delay, std::uint64_t skewPercent);

/// As `skewedTraffic` without skew, but one host dies, and its slots are taken over 35 s later. Counts from
/// the failure until 10 s after the takeover.
Comparison hostDies(Model::Duration delay);

/// Measures the messages that one host sends for draws, on average, with `requestsPerHostSecond` arriving at
/// each of `hosts` hosts.
Traffic controlTraffic(int hosts, int requestsPerHostSecond);

}
