#include "scenarios.h"

#include <gtest/gtest.h>

using namespace SchedulingSimulation;

// Guards against customers that get less than their fair share while one customer sends several times its
// own. The baseline serves the same load in order of arrival.
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
