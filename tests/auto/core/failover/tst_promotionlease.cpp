#include "core/failover/promotionlease.h"

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;

// Guards against two acquisitions with the same fencing token.
TEST(PromotionLease, EachAcquisitionRaisesToken)
{
    const auto first = acquireLease({}, 0, "a", 100ms);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->token, 1U);
    const auto again = acquireLease(*first, 7, "a", 200ms);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->token, 8U);
    EXPECT_EQ(acquireLease(*again, 3, "a", 300ms)->token, 9U);
}

// Guards against two hosts that replace the primary in turn because the lease ends too early (day `zones`
// of deployment asahi-bindery, seed 533267098142: three promotion requests of two holders within 2.7 s).
TEST(PromotionLease, OtherHostAcquiresLeaseOnlyAfterItsEnd)
{
    const auto held = acquireLease({}, 0, "a", 1000ms);
    EXPECT_FALSE(acquireLease(*held, 1, "b", 1000ms));
    EXPECT_FALSE(acquireLease(*held, 1, "b", 4000ms));
    EXPECT_TRUE(acquireLease(*held, 1, "a", 1500ms));
    const auto next = acquireLease(*held, 1, "b", 4300ms);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->holder, "b");
}

// Guards against a lease that no host can acquire because its row in the store is unreadable.
TEST(PromotionLease, AcquiresLeaseOverUnreadableRow)
{
    const auto taken = acquireLease({}, 41, "a", 1ms);
    ASSERT_TRUE(taken);
    EXPECT_EQ(taken->token, 42U);
}

// Guards against a token that is given again after the lease's row was lost.
TEST(PromotionLease, TokenExceedsVersionOfStore)
{
    const auto taken = acquireLease({ 5, "b", 0ms, {} }, 1000, "a", 1ms);
    ASSERT_TRUE(taken);
    EXPECT_EQ(taken->token, 1001U);
}

// Guards against a previous state of a lease that counts as the newest because the store was restored from an
// older copy and has given its row a new version.
TEST(PromotionLease, RevisionRisesWithEachState)
{
    PromotionLease lease = *acquireLease({}, 0, "a", 100ms);
    lease.primary = "";
    const std::uint64_t fenced = leaseRevision(lease);
    lease.primary = "q";
    const std::uint64_t allowed = leaseRevision(lease);
    EXPECT_GT(allowed, fenced);
    PromotionLease next = *acquireLease(lease, 0, "a", 200ms);
    EXPECT_GT(leaseRevision(next), allowed);
    next.primary = "";
    EXPECT_GT(leaseRevision(next), allowed);
    const PromotionLease restored = leaseOfRevision(allowed, "q");
    EXPECT_EQ(leaseRevision(restored), allowed);
    EXPECT_TRUE(restored.holder.empty());
}
