#include "core/replication/timing.h"
#include "scenarios.h"

#include <gtest/gtest.h>

using namespace Replication;

// Guards the target of section 2.4: each change of primary is completed within 8 s, without a lost write.
TEST(Bounds, FailoverCompletesWithinPromotionBound)
{
    for (const Deployment& deployment : deployments()) {
        for (const Fault fault : { Fault::Crash, Fault::Freeze, Fault::PrimaryPartitioned, Fault::Planned }) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                const FailoverResult result = runFailover(deployment, Mode::Proposed, fault, seed);
                EXPECT_EQ(result.failure, "") << faultName(fault) << " seed " << seed;
                EXPECT_LT(result.writeGap, promotionBound) << faultName(fault) << " seed " << seed;
                EXPECT_EQ(result.lost, 0U);
                // Detection takes at most a probe and its limit longer than the floor.
                EXPECT_LT(result.writeGap, result.floor + probeInterval + callTimeout)
                    << faultName(fault) << " seed " << seed;
            }
        }
    }
}

// Guards against a planned switchover that interrupts writes, and against sending writes to a primary that
// cannot confirm them: only those of the first second, at one every 20 ms, have an unknown outcome.
TEST(Bounds, QueuesWritesThatCannotBeConfirmed)
{
    for (const Deployment& deployment : deployments()) {
        const FailoverResult planned = runFailover(deployment, Mode::Proposed, Fault::Planned, 1);
        EXPECT_EQ(planned.unknown + planned.refused, 0U);
        EXPECT_LT(planned.writeGap, 500ms);
        const FailoverResult cutOff = runFailover(deployment, Mode::Proposed, Fault::PrimaryPartitioned, 1);
        EXPECT_LE(cutOff.unknown, static_cast<std::uint64_t>(stallSuspicionLimit / 20ms) + 5);
    }
}

// The baseline has to show the losses that the confirmation prevents; otherwise the comparison is void.
TEST(Bounds, BaselineWithoutConfirmationLosesWrites)
{
    std::uint64_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        lost += runFailover(deployments().front(), Mode::Baseline, Fault::PrimaryPartitioned, seed).lost;
    EXPECT_GT(lost, 0U);
}

// Guards the share of reads that replicas serve, and that one lagging replica does not slow writes down.
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
