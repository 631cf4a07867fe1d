#include "scenarios.h"

#include <gtest/gtest.h>

using namespace QuotaSimulation;
using namespace std::chrono_literals;

// Guards against a change of the drawing policy that refuses more requests within the rate. The baseline is
// an even split of the rate over the hosts, measured in the same run.
TEST(Capacity, FewerWrongfulRefusalsThanAnEvenSplit)
{
    const Comparison even = skewedTraffic(1500us, 0);
    EXPECT_LE(even.wrongful * 4, even.wrongfulEvenSplit);
    for (const std::uint64_t skew : { 50U, 100U }) {
        const Comparison skewed = skewedTraffic(1500us, skew);
        EXPECT_LE(skewed.wrongful * 500, skewed.wrongfulEvenSplit) << "skew " << skew;
    }
    const Comparison death = hostDies(1500us);
    EXPECT_LE(death.wrongful * 4, death.wrongfulEvenSplit);
}

// Guards against draws that exceed their share of the budget of 7 KB per second and host for all control
// traffic, framing included. A quarter of the budget is reserved for gossip.
TEST(Capacity, DrawTrafficStaysWithinBudget)
{
    constexpr double budget = 7000 * 0.75;
    EXPECT_LE(controlTraffic(9, 400).wirePerHostSecond, budget);
    EXPECT_LE(controlTraffic(9, 2500).wirePerHostSecond, budget);
    EXPECT_LE(controlTraffic(50, 2500).wirePerHostSecond, budget);
}
