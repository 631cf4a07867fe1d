#include "core/failover/emptylogs.h"

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;
using Model::Time;

// Guards against a service without a primary for good because of a replica that restarted without its log.
TEST(EmptyLogs, CountAsLostAfterReturnTime)
{
    EmptyLogs logs;
    EXPECT_TRUE(logs.mayBeLost("r", Time(0s)));
    for (int second = 0; second <= 10; second += 2)
        logs.seen("r", Time(std::chrono::seconds(second)));
    EXPECT_TRUE(logs.mayBeLost("r", Time(9s)));
    EXPECT_FALSE(logs.mayBeLost("r", Time(10s)));
    EXPECT_TRUE(logs.mayBeLost("q", Time(10s)));
}

// Guards against a replica that counts as lost at once because it had an empty log long ago.
TEST(EmptyLogs, BeginAgainAfterGap)
{
    EmptyLogs logs;
    for (int second = 0; second <= 12; second += 2)
        logs.seen("r", Time(std::chrono::seconds(second)));
    EXPECT_TRUE(logs.mayBeLost("r", Time(1h)));
    logs.seen("r", Time(1h));
    EXPECT_TRUE(logs.mayBeLost("r", Time(1h + 9s)));
}
