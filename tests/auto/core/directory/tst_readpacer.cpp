#include "core/directory/readpacer.h"

#include <gtest/gtest.h>

using namespace Directory;
using namespace std::chrono_literals;
using Model::Time;

// Guards against late detection of a new primary because the rows of its service change one by one and each
// read delays the next.
TEST(ReadPacer, FirstReadsAreNotDelayed)
{
    ReadPacer pacer(800ms, 4, 4);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 10s }), 0ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 10s }), 0ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 10s }), 0ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 10s }), 800ms);
}

// Guards against a read for each change while a fleet restarts and all rows change.
TEST(ReadPacer, ReadsOncePerPeriodAfterBurst)
{
    ReadPacer pacer(800ms, 2, 2);
    Time now { 10s };
    int reads = 0;
    for (; now < Time { 18s }; ++reads)
        now += pacer.pauseAfterRead(now) + 1ms;
    EXPECT_GE(reads, 11);
    EXPECT_LE(reads, 12);
}

// Guards against pauses that remain after the series of changes that caused them.
TEST(ReadPacer, IdleTimeRestoresBurst)
{
    ReadPacer pacer(800ms, 2, 2);
    pacer.pauseAfterRead(Time { 10s });
    EXPECT_EQ(pacer.pauseAfterRead(Time { 10s }), 800ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 13s }), 0ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 13s }), 800ms);
}

// Guards against a full burst of reads by every host while the fleet starts and all rows change.
TEST(ReadPacer, StartBurstLimitsFirstReads)
{
    ReadPacer pacer(800ms, 4, 2);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 10s }), 0ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 10s }), 800ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 20s }), 0ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 20s }), 0ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 20s }), 0ms);
    EXPECT_EQ(pacer.pauseAfterRead(Time { 20s }), 800ms);
}

// Guards against hosts that start together and learn of each other only after seconds: until then each
// divides a customer's rate among too few hosts (test LimitsCustomerRateAcrossHosts of the session proxy, up
// to 256 operations where 152 are allowed).
TEST(ReadPacer, HostsThatStartTogetherLearnOfEachOtherWithinASecond)
{
    ReadPacer pacer = hostRowsPacer();
    const Time lastRegistration { 300ms };
    Time read { 0ms };
    while (read < lastRegistration)
        read += pacer.pauseAfterRead(read);
    EXPECT_LE(read, Time { 1s });
}

// Guards against calls that grow with the number of restarts while a whole fleet restarts.
TEST(ReadPacer, ReadsOfHostRowsBecomeRare)
{
    ReadPacer pacer = hostRowsPacer();
    int reads = 0;
    for (Time now { 0ms }; now < Time { 30s }; ++reads)
        now += pacer.pauseAfterRead(now);
    EXPECT_LE(reads, 12);
}
