#include "core/proxy/slotwindow.h"

#include <gtest/gtest.h>

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Model::Time start { std::chrono::seconds(100) };

/// Answers a statement every 10 ms until `until`.
void answerUntil(SlotWindow& window, Model::Time from, Model::Time until)
{
    for (Model::Time now = from; now <= until; now += 10ms) {
        window.started();
        window.ended(SlotResult::Answered, now);
    }
}

}

// Guards against `Busy` for the only user of an upstream, also after many answers.
TEST(SlotWindow, NeverExceedsTheSlots)
{
    SlotWindow window(4);
    answerUntil(window, start, start + 10s);
    for (int count = 0; count < 4; ++count) {
        EXPECT_TRUE(window.mayStart(start));
        window.started();
    }
    EXPECT_FALSE(window.mayStart(start));
}

// Guards against a window that closes for good: after any number of `Busy`, one statement may start soon.
TEST(SlotWindow, StaysAtLeastOne)
{
    SlotWindow window(4);
    for (int count = 0; count < 100; ++count) {
        window.started();
        window.ended(SlotResult::Busy, start);
    }
    EXPECT_EQ(window.limit(), 1);
    EXPECT_FALSE(window.mayStart(start));
    EXPECT_TRUE(window.mayStart(start + 20ms));
}

// Guards against slots that stay unused long after other hosts have left them.
TEST(SlotWindow, RecoversWithinASecondOfAnswers)
{
    SlotWindow window(4);
    window.started();
    window.ended(SlotResult::Busy, start);
    EXPECT_EQ(window.limit(), 1);
    answerUntil(window, start + 10ms, start + 1s);
    EXPECT_EQ(window.limit(), 4);
}

// Guards against a limit below the statements that the upstream is running for this host.
TEST(SlotWindow, FallsToTheStatementsInProgress)
{
    SlotWindow window(8);
    for (int count = 0; count < 4; ++count)
        window.started();
    window.ended(SlotResult::Busy, start);
    EXPECT_EQ(window.limit(), 3);
}

// Guards against a new statement in a slot that a lost one still occupies, and against its loss for good.
TEST(SlotWindow, LostStatementOccupiesItsSlotForAWhile)
{
    SlotWindow window(1);
    window.started();
    window.lost(start + 50ms, start);
    EXPECT_FALSE(window.mayStart(start + 49ms));
    EXPECT_TRUE(window.mayStart(start + 50ms));
}

// Guards against the limit of an upstream's previous size.
TEST(SlotWindow, FollowsChangedNumberOfSlots)
{
    SlotWindow window(2);
    window.setSlots(6);
    EXPECT_EQ(window.limit(), 6);
    window.setSlots(0);
    EXPECT_EQ(window.limit(), 1);
}
