#include "core/proxy/zonechoice.h"

#include <gtest/gtest.h>

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

/// Updates the choice with the same inputs for some periods, and returns the number of changes.
int update(ZoneChoice& choice, Model::Time& now, int periods, const ZoneTimes& times)
{
    int changes = 0;
    for (int i = 0; i < periods; ++i) {
        now += 250ms;
        changes += choice.update(times, now) == ZoneChange::None ? 0 : 1;
    }
    return changes;
}

}

// Guards against reads that leave a zone in which they are served well, or for no gain.
TEST(ZoneChoice, StaysWhileTargetIsMetOrNothingIsGained)
{
    ZoneChoice choice;
    Model::Time now { 100s };
    update(choice, now, 20, { 45ms, 10ms, 1ms, 250ms, 0 });
    update(choice, now, 20, { 100ms, 90ms, 1ms, 250ms, 0 });
    update(choice, now, 20, { 100ms, 80ms, 30ms, 250ms, 0 });
    update(choice, now, 2, { 100ms, 10ms, 1ms, 250ms, 0 });
    // A short burst.
    update(choice, now, 1, { 15ms, 10ms, 1ms, 250ms, 0 });
    update(choice, now, 2, { 100ms, 10ms, 1ms, 250ms, 0 });
    EXPECT_EQ(choice.share(), 0);
}

// Guards against reads that stay with an upstream that answers few of them, and these quickly.
TEST(ZoneChoice, LeavesBusyUpstream)
{
    ZoneChoice choice;
    Model::Time now { 100s };
    EXPECT_EQ(update(choice, now, 4, { 15ms, 10ms, 1ms, 250ms, 0.5 }), 1);
    EXPECT_GT(choice.share(), 0);
}

// Guards against a share that jumps, and against one that moves to and fro while the inputs are steady.
TEST(ZoneChoice, MovesShareInStepsWithHysteresis)
{
    ZoneChoice choice;
    Model::Time now { 100s };
    EXPECT_EQ(update(choice, now, 4, { 120ms, 20ms, 1ms, 250ms, 0 }), 1);
    EXPECT_NEAR(choice.share(), 0.2, 0.001);
    EXPECT_FALSE(choice.isDue(now + 200ms));
    EXPECT_EQ(choice.update({ 120ms, 20ms, 1ms, 250ms, 0 }, now + 200ms), ZoneChange::None);
    EXPECT_EQ(update(choice, now, 40, { 120ms, 20ms, 1ms, 250ms, 0 }), 0);
    const double share = choice.share();
    EXPECT_LT(share, 1);
    // Served well enough to stay, not well enough to return.
    EXPECT_EQ(update(choice, now, 40, { 45ms, 20ms, 1ms, 250ms, 0 }), 0);
    EXPECT_EQ(choice.share(), share);
    EXPECT_EQ(update(choice, now, 12, { 15ms, 10ms, 1ms, 250ms, 0 }), 1);
    EXPECT_EQ(choice.share(), 0);
}
