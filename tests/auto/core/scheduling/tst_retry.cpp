#include "../seeds.h"
#include "core/scheduling/backoff.h"
#include "core/scheduling/ramp.h"
#include "core/scheduling/retrybudget.h"

#include <algorithm>

using namespace Scheduling;
using Model::Time;
using namespace std::chrono_literals;

// Guards against retries that exceed 10 % of the requests plus a burst of 10 in any window, and against a
// budget that does not recover.
TEST(RetryBudget, BoundHoldsInEveryWindow)
{
    forEachSeed(300, [](std::mt19937_64& generator) {
        RetryBudget budget;
        // `used` rises by 10 with each retry and falls by 1 with each request. It must never exceed an
        // earlier minimum by more than 100, which is a burst of 10 retries.
        int used = 0;
        int lowest = 0;
        for (int i = 0; i < 1000; ++i) {
            if (onceIn(2, generator)) {
                budget.countRequest();
                --used;
            } else if (budget.tryRetry()) {
                used += 10;
            }
            EXPECT_LE(used - lowest, 100);
            lowest = std::min(lowest, used);
        }
        for (int i = 0; i < 100; ++i)
            budget.countRequest();
        for (int i = 0; i < 10; ++i)
            EXPECT_TRUE(budget.tryRetry());
        EXPECT_FALSE(budget.tryRetry());
    });
}

// Guards against retries past the deadline, delays beyond the limit, and delays without jitter, which would
// make all hosts retry at once.
TEST(Backoff, DelaysUseFullJitterWithinDeadline)
{
    std::mt19937_64 generator(1);
    const Time now { 5s };
    for (int attempt = 0; attempt < 10; ++attempt) {
        const auto limit = std::min<Model::Duration>(10ms * (1 << attempt), 1s);
        Model::Duration shortest = 1h;
        Model::Duration longest {};
        for (int i = 0; i < 200; ++i) {
            Backoff backoff;
            std::optional<Time> at;
            for (int j = 0; j <= attempt; ++j)
                at = backoff.next(now, now + 1h, generator);
            ASSERT_TRUE(at);
            shortest = std::min(shortest, *at - now);
            longest = std::max(longest, *at - now);
        }
        EXPECT_LE(longest, limit);
        EXPECT_GE(longest, limit * 9 / 10);
        EXPECT_LE(shortest, limit / 10);
    }
    Backoff backoff;
    for (int i = 0; i < 200; ++i) {
        const auto at = backoff.next(now, now + 20ms, generator);
        EXPECT_TRUE(!at || *at < now + 20ms);
    }
}

// Guards against full load on an availability zone whose upstreams are still cold after it is back in
// service, and against load on one that is out of service.
TEST(Ramp, RisesFromTenPercentInThirtySeconds)
{
    Ramp ramp;
    EXPECT_EQ(ramp.permille(Time {}), 1000);
    ramp.setState(Ramp::ZoneState::Out, Time { 1s });
    EXPECT_EQ(ramp.permille(Time { 1h }), 0);
    ramp.setState(Ramp::ZoneState::In, Time { 100s });
    EXPECT_EQ(ramp.permille(Time { 100s }), 100);
    ramp.setState(Ramp::ZoneState::In, Time { 110s });
    EXPECT_EQ(ramp.permille(Time { 115s }), 550);
    EXPECT_EQ(ramp.permille(Time { 130s }), 1000);
    std::mt19937_64 generator(1);
    int admitted = 0;
    for (int i = 0; i < 10'000; ++i)
        admitted += ramp.admits(Time { 115s }, generator) ? 1 : 0;
    EXPECT_NEAR(admitted, 5500, 200);
}
