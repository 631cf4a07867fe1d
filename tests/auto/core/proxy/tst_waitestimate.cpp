#include "core/proxy/waitestimate.h"

#include <gtest/gtest.h>

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Model::Time start { std::chrono::seconds(100) };

WaitingRequest request(int priority = 0) { return { 1, WaitLane::Primary, priority, "acme", start, 200ms }; }

/// `count` requests of the same class.
QueueAhead ahead(std::size_t count, int priority = 0) { return { { { priority, count } }, count }; }

}

// Guards against refusals before anything is known about the upstreams.
TEST(WaitEstimate, ExpectsNoWaitWithoutMeasurements)
{
    EXPECT_EQ(WaitEstimate().expectedWait(request(), ahead(100), 4, start), Model::Duration {});
}

// Guards against an estimate that ignores the queue, the slots or the openings of connections.
TEST(WaitEstimate, GrowsWithQueueAndOpenings)
{
    WaitEstimate estimate;
    estimate.statementEnded(0, 8ms);
    EXPECT_EQ(estimate.expectedWait(request(), ahead(10), 4, start), 20ms);
    EXPECT_EQ(estimate.expectedWait(request(), ahead(20), 2, start), 80ms);
    for (int count = 0; count < 200; ++count) {
        estimate.openingEnded(12ms);
        estimate.statementEnded(0, 8ms);
    }
    EXPECT_GT(estimate.expectedWait(request(), ahead(10), 4, start), 45ms);
    EXPECT_EQ(estimate.meanStatementTime(0), 8ms);
}

// Guards against short urgent requests that are refused because those of another class run long, and against
// less urgent ones that are refused because of urgent ones that do not all go first.
TEST(WaitEstimate, CountsTheWorkOfEachClass)
{
    WaitEstimate estimate;
    estimate.statementEnded(0, 4ms);
    estimate.statementEnded(1, 20ms);
    EXPECT_EQ(estimate.expectedWait(request(0), ahead(10, 0), 4, start), 10ms);
    const QueueAhead both { { { 0, 100 }, { 1, 2 } }, 2, 24 };
    EXPECT_EQ(estimate.expectedWait(request(1), both, 4, start), 24ms);
}

// Guards against requests of a less urgent class that are queued although more urgent ones take nearly all
// slots, and against an estimate that outlives the load from which it was learnt.
TEST(WaitEstimate, FollowsThePaceOfTheClass)
{
    WaitEstimate estimate;
    estimate.statementEnded(2, 8ms);
    Model::Time now = start;
    for (int count = 0; count < 50; ++count)
        estimate.taken(request(2), true, now += 20ms);
    const QueueAhead behindUrgent { { { 0, 10 }, { 2, 10 } }, 10, 88 };
    EXPECT_EQ(estimate.expectedWait(request(2), behindUrgent, 4, now), 200ms);
    EXPECT_EQ(estimate.expectedWait(request(2), behindUrgent, 4, now + 2s), 20ms);
    EXPECT_EQ(estimate.expectedWait(request(2), ahead(10, 2), 4, now), 20ms);
}

// Guards against late requests that wait to their deadline although none of them is served.
TEST(WaitEstimate, LateRequestWaitsAtLeastAsLongAsNoneWasServed)
{
    WaitEstimate estimate;
    WaitingRequest late = request();
    late.isLate = true;
    estimate.lateWaitsFrom(late, start);
    EXPECT_EQ(estimate.expectedWait(late, ahead(5), 4, start + 300ms), 300ms);
    estimate.taken(late, true, start + 300ms);
    EXPECT_EQ(estimate.lateUnservedFor(late, start + 310ms), 10ms);
}
