#pragma once

#include "fleet.h"

namespace QuotaSimulation {

struct Comparison {
    std::uint64_t requests = 0;
    std::uint64_t wrongful = 0;
    /// With the rate split evenly over the hosts.
    std::uint64_t wrongfulEvenSplit = 0;
    std::uint64_t waited = 0;
};

struct Traffic {
    double messagesPerHostSecond = 0;
    double payloadPerHostSecond = 0;
    double wirePerHostSecond = 0;
    std::uint64_t requests = 0;
    std::uint64_t wrongful = 0;
    std::uint64_t waited = 0;
};

/// Nine hosts and eight customers, each at 80 % of its rate, of which `skewPercent` arrive at one host.
Comparison skewedTraffic(Model::Duration delay, std::uint64_t skewPercent);

/// As with even traffic, but one host dies; its slots are taken over 35 s later. Counts from its death to 10
/// s after the takeover.
Comparison hostDies(Model::Duration delay);

/// Messages that draws need, sent by one host, with `requestsPerHostSecond` at each of `hosts` hosts.
Traffic controlTraffic(int hosts, int requestsPerHostSecond);

}
