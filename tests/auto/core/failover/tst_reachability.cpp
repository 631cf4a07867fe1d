#include "core/failover/reachability.h"

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;
using Model::Time;

// Guards against an upstream that counts as unreachable because of one slow connection although another one
// gets responses.
TEST(Reachability, ResponseOnAnyConnectionCounts)
{
    Reachability reachability;
    reachability.requestSent("db", Time { 0ms });
    reachability.requestSent("db", Time { 300ms });
    reachability.responseReceived("db", Time { 400ms });
    EXPECT_EQ(reachability.state("db", Time { 500ms }), ReachabilityState::Reachable);
    reachability.requestSent("db", Time { 600ms });
    EXPECT_EQ(reachability.state("db", Time { 900ms }), ReachabilityState::Unknown);
    EXPECT_EQ(reachability.state("db", Time { 1100ms }), ReachabilityState::Unreachable);
}

// Guards against an upstream that counts as unreachable only because nothing was requested from it.
TEST(Reachability, IsUnknownWithoutRequest)
{
    Reachability reachability;
    EXPECT_EQ(reachability.state("db", Time { 0ms }), ReachabilityState::Unknown);
    reachability.responseReceived("db", Time { 0ms });
    EXPECT_EQ(reachability.state("db", Time { 10s }), ReachabilityState::Unknown);
}

// Guards against a promotion because of a single broken connection.
TEST(Reachability, SingleBrokenConnectionIsNotUnreachable)
{
    Reachability reachability;
    reachability.failed("db", Time { 0ms });
    EXPECT_NE(reachability.state("db", Time { 1ms }), ReachabilityState::Unreachable);
    reachability.failed("db", Time { 2ms });
    EXPECT_EQ(reachability.state("db", Time { 3ms }), ReachabilityState::Unreachable);
    reachability.responseReceived("db", Time { 4ms });
    EXPECT_EQ(reachability.state("db", Time { 5ms }), ReachabilityState::Reachable);
}

// Guards against a host that suspects every upstream after its process was paused, because it counts the
// pause as time without a response.
TEST(Reachability, PauseOfThisProcessRestartsResponseTimeout)
{
    Reachability reachability;
    reachability.requestSent("db", Time { 0ms });
    reachability.processPaused(Time { 5s });
    EXPECT_NE(reachability.state("db", Time { 5s + 100ms }), ReachabilityState::Unreachable);
    EXPECT_EQ(reachability.state("db", Time { 5s + 600ms }), ReachabilityState::Unreachable);
}

// Guards against old evidence about an upstream that was unavailable once and has received no requests since.
// When it became the primary, each host took it for unreachable at once, and two hosts replaced the primary
// in turn (day `zones` of deployment asahi-bindery, seed 533267098142).
TEST(Reachability, EvidenceExpires)
{
    Reachability reachability;
    reachability.failed("db", Time { 0s });
    reachability.failed("db", Time { 0s });
    reachability.requestSent("db", Time { 0s });
    EXPECT_EQ(reachability.state("db", Time { 1s }), ReachabilityState::Unreachable);
    EXPECT_EQ(reachability.state("db", Time { 5s }), ReachabilityState::Unknown);
    reachability.requestSent("db", Time { 5s });
    EXPECT_EQ(reachability.state("db", Time { 5s + 100ms }), ReachabilityState::Unknown);
    reachability.failed("db", Time { 5s + 100ms });
    EXPECT_EQ(reachability.state("db", Time { 5s + 200ms }), ReachabilityState::Unknown);
}

// Guards against replacing a primary that only lets writes wait, for example for a replica, and answers
// everything else: it is asked for its status before it counts as unreachable.
TEST(Reachability, ProbesUpstreamBeforeItCountsAsUnreachable)
{
    Reachability reachability;
    EXPECT_FALSE(reachability.takeProbe("db", Time { 0ms }));
    reachability.requestSent("db", Time { 0ms });
    EXPECT_FALSE(reachability.takeProbe("db", Time { 100ms }));
    EXPECT_TRUE(reachability.takeProbe("db", Time { 300ms }));
    EXPECT_FALSE(reachability.takeProbe("db", Time { 400ms }));
    reachability.requestSent("db", Time { 400ms });
    reachability.responseReceived("db", Time { 410ms });
    EXPECT_EQ(reachability.state("db", Time { 460ms }), ReachabilityState::Reachable);
    reachability.requestSent("db", Time { 500ms });
    EXPECT_TRUE(reachability.takeProbe("db", Time { 800ms }));
    EXPECT_EQ(reachability.state("db", Time { 960ms }), ReachabilityState::Unreachable);
}
