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
    missedChanges.read(7, 7, Time {});
    missedChanges.reportedByPeer(9, Time { 1s });
    EXPECT_FALSE(missedChanges.takeMissed(Time { 1500ms }));
    EXPECT_TRUE(missedChanges.takeMissed(Time { 2500ms }));
    // The wait starts again for the new connection.
    EXPECT_FALSE(missedChanges.takeMissed(Time { 2600ms }));
    EXPECT_TRUE(missedChanges.takeMissed(Time { 4s }));
    missedChanges.read(9, 9, Time { 5s });
    EXPECT_FALSE(missedChanges.takeMissed(Time { 9s }));
    EXPECT_EQ(missedChanges.version(), 9U);
}

// Guards against connections that are replaced although this host has read a change before, or soon after,
// another host reported it.
TEST(MissedChanges, NothingIsMissedIfReadBeforeOrSoonAfterReport)
{
    MissedChanges missedChanges;
    missedChanges.read(9, 9, Time {});
    missedChanges.reportedByPeer(7, Time { 1s });
    EXPECT_FALSE(missedChanges.takeMissed(Time { 9s }));
    missedChanges.reportedByPeer(10, Time { 10s });
    missedChanges.read(10, 10, Time { 11s });
    EXPECT_FALSE(missedChanges.takeMissed(Time { 20s }));
}

// Guards against a host that is taken for late again and again although it reads each change: while changes
// follow each other closely, another host has always reported a newer one.
TEST(MissedChanges, NothingIsMissedWhileHostFollowsCloseChanges)
{
    MissedChanges missedChanges;
    for (std::uint64_t version = 1; version < 40; ++version) {
        const Time now { version * 500ms };
        missedChanges.reportedByPeer(version + 1, now);
        missedChanges.read(version, version, now);
        EXPECT_FALSE(missedChanges.takeMissed(now + 400ms)) << version;
    }
}

// Guards against a host that reads the table again and again because its newest change deleted a row: a host
// that starts after that reads only rows with lower versions.
TEST(MissedChanges, DeletedRowIsNotMissedByHostThatReadTableLater)
{
    MissedChanges missedChanges;
    missedChanges.read(7, 12, Time { 1s });
    missedChanges.reportedByPeer(9, Time { 2s });
    EXPECT_FALSE(missedChanges.takeMissed(Time { 9s }));
    EXPECT_EQ(missedChanges.version(), 7U);
}
