#include "scenarios.h"

#include <gtest/gtest.h>

using namespace SchedulingSimulation;

// Guards against a customer that gets less than its fair share while another sends several times its own;
// order of arrival is the baseline of the same run.
TEST(Capacity, EveryCustomerGetsFairShareUnderFlood)
{
    for (const Deployment& deployment : { deploymentA, deploymentB }) {
        const FloodResult fair = flood(deployment, 5, Order::Fair);
        const FloodResult arrival = flood(deployment, 5, Order::Arrival);
        EXPECT_GE(fair.worstPercent, 95);
        EXPECT_GE(fair.worstPercent, 1.3 * arrival.worstPercent);
        EXPECT_GE(fair.served * 100, arrival.served * 99);
    }
}
