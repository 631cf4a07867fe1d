#include "sessionserver/logbudget.h"
#include "sessionserver/memorybudget.h"

#include <optional>

#include <gtest/gtest.h>

using namespace SessionServer;

// Guards against memory that stays charged after its holder is gone, or is charged twice after a move.
TEST(MemoryBudget, HoldersReturnTheirCharges)
{
    MemoryBudget budget(100);
    {
        MemoryCharge first(budget);
        first.set(70);
        MemoryCharge second(std::move(first));
        second.set(60);
        EXPECT_EQ(budget.used(), 60U);
        EXPECT_TRUE(budget.isScarce());
        EXPECT_FALSE(budget.isExceeded());
        MemoryCharge third(budget);
        third.set(41);
        EXPECT_TRUE(budget.isExceeded());
    }
    EXPECT_EQ(budget.used(), 0U);
}

// Guards against a crowd of clients that fills the log.
TEST(LogBudget, LimitsRateAndCountsOmittedLines)
{
    LogBudget budget;
    Model::Time now { std::chrono::seconds(100) };
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += budget.take(now) ? 1 : 0;
    EXPECT_EQ(written, 100);
    now += std::chrono::seconds(1);
    EXPECT_EQ(budget.take(now), 900U);
    EXPECT_EQ(budget.take(now), 0U);
}
