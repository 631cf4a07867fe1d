#include "core/directory/missedchanges.h"

#include <gtest/gtest.h>

using namespace Directory;
using namespace std::chrono_literals;
using Model::Time;

// Guards against a host that watches a table on an unresponsive connection and misses changes, for example a
// withdrawn key that remains valid on this host (soak test, seeds 2 and 3).
TEST(MissedChanges, DetectsChangeReportedByPeerButNotRead)
{
    MissedChanges missedChanges;
    missedChanges.read(7);
    missedChanges.reportedByPeer(9, Time { 1s });
    EXPECT_FALSE(missedChanges.takeMissed(Time { 1500ms }));
    EXPECT_TRUE(missedChanges.takeMissed(Time { 2500ms }));
    // The wait starts again for the new connection.
    EXPECT_FALSE(missedChanges.takeMissed(Time { 2600ms }));
    EXPECT_TRUE(missedChanges.takeMissed(Time { 4s }));
    missedChanges.read(9);
    EXPECT_FALSE(missedChanges.takeMissed(Time { 9s }));
    EXPECT_EQ(missedChanges.version(), 9U);
}

// Guards against connections that are replaced although this host has read a change before, or soon after,
// another host reported it.
TEST(MissedChanges, NothingIsMissedIfReadBeforeOrSoonAfterReport)
{
    MissedChanges missedChanges;
    missedChanges.read(9);
    missedChanges.reportedByPeer(7, Time { 1s });
    EXPECT_FALSE(missedChanges.takeMissed(Time { 9s }));
    missedChanges.reportedByPeer(10, Time { 10s });
    missedChanges.read(10);
    EXPECT_FALSE(missedChanges.takeMissed(Time { 20s }));
}
