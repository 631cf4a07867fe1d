#include "core/failover/termhistory.h"

#include <gtest/gtest.h>

using namespace Failover;

// Guards against a log that counts as part of the primary's although a promotion rolled its end back, and
// against the exclusion of logs that only lag behind.
TEST(TermHistory, TellsLogsThatHaveDiverged)
{
    const TermHistory history({ { 2, "b", { 1, 46 } }, { 3, "c", { 2, 80 } } });
    EXPECT_FALSE(history.hasDiverged({ 1, 40 }));
    EXPECT_FALSE(history.hasDiverged({ 1, 46 }));
    EXPECT_TRUE(history.hasDiverged({ 1, 47 }));
    // Position 60 of term 1 was rolled back, that of term 2 was not.
    EXPECT_TRUE(history.hasDiverged({ 1, 60 }));
    EXPECT_FALSE(history.hasDiverged({ 2, 60 }));
    EXPECT_TRUE(history.hasDiverged({ 2, 81 }));
    // The log of `c` has other entries from position 47 on, although it is longer.
    EXPECT_TRUE(TermHistory({ { 3, "c", { 1, 80 } } }).hasDiverged({ 2, 70 }));
    EXPECT_FALSE(history.hasDiverged({ 3, 90 }));
    EXPECT_FALSE(history.hasDiverged({ 7, 1 }));
    EXPECT_FALSE(TermHistory().hasDiverged({ 1, 60 }));
}

// Guards against a log that counts as diverged because of a promotion that was requested again, from another
// log.
TEST(TermHistory, LaterPromotionReplacesThoseOfItsTerm)
{
    TermHistory history({ { 2, "b", { 1, 46 } }, { 3, "c", { 2, 80 } } });
    history.add({ 3, "d", { 2, 90 } });
    ASSERT_EQ(history.starts().size(), 2U);
    EXPECT_EQ(history.starts().back().primary, "d");
    EXPECT_FALSE(history.hasDiverged({ 2, 85 }));
    history.removeNewest();
    EXPECT_EQ(history.newestTerm(), 2U);
}

// Guards against a row of the store that grows with each promotion.
TEST(TermHistory, KeepsNewestPromotions)
{
    TermHistory history;
    for (std::uint64_t term = 1; term <= 100; ++term)
        history.add({ term, "a", { term - 1, term * 10 } });
    EXPECT_EQ(history.starts().size(), 8U);
    EXPECT_EQ(history.newestTerm(), 100U);
    EXPECT_TRUE(history.hasDiverged({ 1, 2000 }));
}
