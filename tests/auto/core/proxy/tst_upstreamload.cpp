#include "core/proxy/upstreamload.h"

#include <gtest/gtest.h>

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Model::Time start { 100s };

/// Answers `count` statements, one every `period`, and returns the last change.
LoadChange answer(
    UpstreamLoad& load, Model::Time& now, int count, ResultCode code, Model::Duration period = 10ms)
{
    LoadChange result = LoadChange::None;
    for (int i = 0; i < count; ++i) {
        now += period;
        const LoadChange change = load.answered(code, 0, now - 10ms, now);
        result = change == LoadChange::None ? result : change;
    }
    return result;
}

}

// Guards against setting an upstream aside for one failed statement, and for statements that fail everywhere.
TEST(UpstreamLoad, IsSetAsideOnlyForRepeatedFailuresOfItsOwn)
{
    UpstreamLoad load(start);
    Model::Time now = start + 10s;
    answer(load, now, 20, ResultCode::Complete);
    EXPECT_EQ(load.answered(ResultCode::Failed, 0, now, now), LoadChange::None);
    answer(load, now, 20, ResultCode::Complete);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(load.answered(ResultCode::Failed, load.failureRatio(), now, now), LoadChange::None);
    EXPECT_EQ(load.answered(ResultCode::Failed, 0, now, now), LoadChange::SetAside);
    EXPECT_TRUE(load.isSetAside());
}

// Guards against taking an upstream back because of statements that were in progress when it was set aside,
// and because of many successes at one moment.
TEST(UpstreamLoad, IsTakenBackAfterProbesOnly)
{
    UpstreamLoad load(start);
    Model::Time now = start + 10s;
    EXPECT_EQ(answer(load, now, 10, ResultCode::Failed), LoadChange::SetAside);
    EXPECT_EQ(answer(load, now, 1, ResultCode::Failed), LoadChange::None);
    for (int i = 0; i < 30; ++i)
        EXPECT_EQ(load.answered(ResultCode::Complete, 0, start, now), LoadChange::None);
    EXPECT_EQ(answer(load, now, 20, ResultCode::Complete, 1ms), LoadChange::None);
    EXPECT_EQ(answer(load, now, 5, ResultCode::Complete, 300ms), LoadChange::TakenBack);
    EXPECT_LT(load.share(now), 0.5);
    EXPECT_EQ(load.share(now + 3s), 1);
    // A failure while its share still grows sets it aside again, for longer.
    EXPECT_EQ(load.lost(0, now), LoadChange::SetAside);
    EXPECT_EQ(answer(load, now, 8, ResultCode::Complete, 300ms), LoadChange::None);
    EXPECT_EQ(answer(load, now, 1, ResultCode::Complete, 300ms), LoadChange::TakenBack);
}

// Guards against probes that follow each other without pause.
TEST(UpstreamLoad, IsProbedOncePerSecondWhileItFails)
{
    UpstreamLoad load(start);
    Model::Time now = start + 10s;
    answer(load, now, 10, ResultCode::Failed);
    load.sent(now);
    EXPECT_FALSE(load.isProbeDue(now + 900ms));
    EXPECT_TRUE(load.isProbeDue(now + 1s));
    answer(load, now, 1, ResultCode::Complete);
    load.sent(now);
    EXPECT_FALSE(load.isProbeDue(now + 200ms));
    EXPECT_TRUE(load.isProbeDue(now + 250ms));
}

// Guards against an estimate that ignores slowness, load or `BUSY`, or keeps them after they have ended.
TEST(UpstreamLoad, ExpectedTimeFollowsObservations)
{
    UpstreamLoad load(start);
    Model::Time now = start;
    const auto expected = [&](int inUse) { return load.expectedTime(inUse, 4, 250ms, now); };
    answer(load, now, 100, ResultCode::Complete);
    EXPECT_EQ(expected(0), 10ms);
    EXPECT_EQ(expected(4), 20ms);
    answer(load, now, 100, ResultCode::Busy);
    EXPECT_GT(expected(0), 200ms);
    answer(load, now, 4, ResultCode::Complete, 1s);
    EXPECT_LT(expected(0), 15ms);
    now += 1s;
    load.answered(ResultCode::Complete, 0, now - 90ms, now);
    EXPECT_GT(expected(0), 45ms);
}

// Guards against a round trip that stays short after the network path has become longer.
TEST(UpstreamLoad, RoundTripIsMinimumOfSlidingPeriod)
{
    UpstreamLoad load(start);
    EXPECT_EQ(load.roundTrip(), 0ms);
    load.observeRoundTrip(5ms, start);
    load.observeRoundTrip(1ms, start + 1s);
    load.observeRoundTrip(9ms, start + 11s);
    EXPECT_EQ(load.roundTrip(), 1ms);
    load.observeRoundTrip(8ms, start + 22s);
    EXPECT_EQ(load.roundTrip(), 8ms);
}
