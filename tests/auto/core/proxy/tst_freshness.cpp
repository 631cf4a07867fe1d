#include "core/proxy/freshness.h"

#include <gtest/gtest.h>

using namespace Proxy;
using namespace std::chrono_literals;
using Model::LogPosition;
using Model::Time;

// Guards against a stale read: only a position whose request was sent within the staleness may be used.
TEST(Freshness, RequiresObservationWithinMaxStaleness)
{
    Freshness freshness;
    EXPECT_FALSE(freshness.required(Time { 0s }, 1s));
    freshness.observe({ 1, 10 }, Time { 10s });
    EXPECT_EQ(freshness.required(Time { 10s + 900ms }, 1s), (LogPosition { 1, 10 }));
    EXPECT_EQ(freshness.required(Time { 11s }, 1s), (LogPosition { 1, 10 }));
    EXPECT_FALSE(freshness.required(Time { 11s + 1ms }, 1s));
}

// Guards against reads that require a later position than necessary, which a replica may lack.
TEST(Freshness, UsesOldestSufficientObservation)
{
    Freshness freshness;
    for (int i = 0; i < 20; ++i)
        freshness.observe({ 1, static_cast<std::uint64_t>(100 + i) }, Time { 10s + i * 100ms });
    EXPECT_EQ(freshness.required(Time { 12s }, 1s), (LogPosition { 1, 110 }));
    EXPECT_EQ(freshness.required(Time { 12s }, 500ms), (LogPosition { 1, 115 }));
}

// Guards against stale reads because merging observations kept an earlier position.
TEST(Freshness, MergingKeepsLaterPosition)
{
    Freshness freshness;
    for (int i = 0; i < 100; ++i)
        freshness.observe({ 1, static_cast<std::uint64_t>(i) }, Time { 10s + i * 1ms });
    for (int i = 0; i < 100; ++i) {
        const auto required = freshness.required(Time { 11s + i * 1ms }, 1s);
        ASSERT_TRUE(required);
        EXPECT_GE(required->position, static_cast<std::uint64_t>(i));
    }
}

// Guards against a stale read because a reply that arrives late makes an old position appear recent.
TEST(Freshness, IgnoresLateReplies)
{
    Freshness freshness;
    freshness.observe({ 1, 10 }, Time { 10s });
    freshness.observe({ 1, 9 }, Time { 10s + 500ms });
    freshness.observe({ 1, 12 }, Time { 9s });
    EXPECT_EQ(freshness.required(Time { 10s + 100ms }, 1s), (LogPosition { 1, 10 }));
    EXPECT_FALSE(freshness.required(Time { 11s + 400ms }, 1s));
}

// Guards against reads that require a position of the previous term which the log lost in a promotion.
TEST(Freshness, NewTermDiscardsOldObservations)
{
    Freshness freshness;
    freshness.observe({ 1, 100 }, Time { 10s });
    freshness.observe({ 2, 95 }, Time { 10s + 200ms });
    EXPECT_EQ(freshness.required(Time { 10s + 300ms }, 1s), (LogPosition { 2, 95 }));
    EXPECT_EQ(freshness.lastObserved(), Time { 10s + 200ms });
}
