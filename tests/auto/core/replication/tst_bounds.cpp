#include "core/replication/timing.h"
#include "scenarios.h"

#include <gtest/gtest.h>

using namespace Replication;

// Guards against a change of primary that takes longer than the target of 8 s (docs/design.md, section 2.4)
// or loses an acknowledged write, for each kind of fault.
TEST(Bounds, FailoverCompletesWithinPromotionBound)
{
    for (const Deployment& deployment : deployments()) {
        for (const Fault fault : { Fault::Crash, Fault::Freeze, Fault::PrimaryPartitioned, Fault::Planned }) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                const FailoverResult result = runFailover(deployment, Mode::Proposed, fault, seed);
                EXPECT_EQ(result.failure, "") << faultName(fault) << " seed " << seed;
                EXPECT_LT(result.writeGap, promotionBound) << faultName(fault) << " seed " << seed;
                EXPECT_EQ(result.lost, 0U);
                // Detection takes at most one probe interval and the probe's time-out longer than the floor.
                EXPECT_LT(result.writeGap, result.floor + probeInterval + callTimeout)
                    << faultName(fault) << " seed " << seed;
            }
        }
    }
}

// Guards against a planned switchover that rejects writes or leaves their outcome unknown, and against
// sending writes to a partitioned primary that cannot confirm them. Only the writes of the first second, one
// every 20 ms, may have an unknown outcome.
TEST(Bounds, QueuesWritesThatCannotBeConfirmed)
{
    for (const Deployment& deployment : deployments()) {
        const FailoverResult planned = runFailover(deployment, Mode::Proposed, Fault::Planned, 1);
        EXPECT_EQ(planned.unknown + planned.refused, 0U);
        EXPECT_LT(planned.writeGap, 500ms);
        const FailoverResult partitioned
            = runFailover(deployment, Mode::Proposed, Fault::PrimaryPartitioned, 1);
        EXPECT_LE(partitioned.unknown, static_cast<std::uint64_t>(stallSuspicionLimit / 20ms) + 5);
    }
}

// Guards against a simulation that cannot lose writes: the baseline, which acknowledges without confirmation,
// has to show the losses that confirmation prevents. Otherwise the tests above would prove nothing.
TEST(Bounds, BaselineWithoutConfirmationLosesWrites)
{
    std::uint64_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        lost += runFailover(deployments().front(), Mode::Baseline, Fault::PrimaryPartitioned, seed).lost;
    EXPECT_GT(lost, 0U);
}

// Guards against reads that go to the primary although replicas could serve them, and against writes that one
// lagging replica slows down.
TEST(Bounds, ReplicasServeReadsDespiteOneLaggingReplica)
{
    for (const Deployment& deployment : deployments()) {
        const LagResult even = runLag(deployment, Mode::Proposed, 0ms, 2, 1);
        const LagResult oneLags = runLag(deployment, Mode::Proposed, 500ms, 1, 1);
        EXPECT_GT(even.replicaShare, 0.95);
        EXPECT_GT(oneLags.replicaShare, 0.95);
        EXPECT_LE(oneLags.medianWrite, even.medianWrite * 3 / 2);
    }
}
