#include "core/directory/tablewatch.h"

#include <gtest/gtest.h>

using namespace Directory;
using namespace std::chrono_literals;
using Model::Time;

namespace {

constexpr Time start { 10s };

TableWatch watchIn(WatchStep step, std::uint64_t receivedBytes = 0)
{
    return { step, start, receivedBytes, 0 };
}

}

// Guards against a recovery that interrupts itself: a call that reads what was missed, however long it takes,
// or a response that is arriving, is aborted and begins again.
TEST(TableWatch, CallThatMakesProgressIsNotUnresponsive)
{
    EXPECT_FALSE(isUnresponsive(watchIn(WatchStep::Read), start + 1h));
    EXPECT_FALSE(isUnresponsive(watchIn(WatchStep::Pause), start + 1h));
    EXPECT_FALSE(isUnresponsive(watchIn(WatchStep::WaitForChange, 1), start + 1h));
}

// Guards against a host that waits for changes on an unresponsive connection, and against an abort of a call
// that has just begun.
TEST(TableWatch, CallThatWaitsForLongIsUnresponsive)
{
    EXPECT_FALSE(isUnresponsive(watchIn(WatchStep::WaitForChange), start + 1s));
    EXPECT_TRUE(isUnresponsive(watchIn(WatchStep::WaitForChange), start + 2s));
}

// The names stand in the log.
TEST(TableWatch, StepsHaveNames)
{
    EXPECT_EQ(watchStepName(WatchStep::Pause), "pause");
    EXPECT_EQ(watchStepName(WatchStep::WaitForChange), "wait_for_change");
    EXPECT_EQ(watchStepName(WatchStep::Read), "read");
}
