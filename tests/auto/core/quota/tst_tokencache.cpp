#include "core/quota/tokencache.h"
#include "fleet.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

using namespace Quota;
using Model::Time;
using QuotaSimulation::Counters;
using QuotaSimulation::Fleet;
using namespace std::chrono_literals;

namespace {

const std::string customer = "customer";
using enum TokenCache::Attempt;

// A cache with a single holder, whose replies the test supplies.
struct Cache {
    Cache()
    {
        tokens.setLimits(customer, { 1000, 1000 });
        tokens.setHolders(std::vector<std::string>(slotCount, "holder"));
    }

    DrawRequest draw(Time now)
    {
        EXPECT_EQ(tokens.admit(customer, First, now), Admission::Wait);
        const auto requests = tokens.plan(now, generator);
        return requests.empty() ? DrawRequest {} : requests.front().request;
    }

    static DrawReply grantAll(const DrawRequest& request)
    {
        return { request.sequence, { { customer, request.draws.front().wanted, false } } };
    }

    TokenCache tokens { "self" };
    std::mt19937_64 generator { 1 };
};

// Sends one customer's requests at a constant rate of `load` percent of its limit: `skewPercent` of them to
// host 0, the rest to random hosts. Counts 10 s after a warm-up.
Counters runSkewed(Fleet& fleet, const Limits& limits, int hosts, std::uint64_t skewPercent, int load)
{
    std::mt19937_64 generator(1);
    double due = 0;
    const auto run = [&](Model::Duration period) {
        const Time end = fleet.now() + period;
        while (fleet.now() < end) {
            fleet.advance(1ms);
            for (due += static_cast<double>(limits.rate) * load / 100 / 1000; due >= 1; due -= 1) {
                const bool first = generator() % 100 < skewPercent;
                fleet.request(
                    first ? 0 : static_cast<int>(generator() % static_cast<std::uint64_t>(hosts)), customer);
            }
        }
    };
    fleet.setLimits(customer, limits);
    fleet.advance(5s);
    run(2s);
    fleet.resetCounters();
    run(10s);
    return fleet.counters();
}

}

// Guards against spending tokens after their expiry, which counts from the time the request was sent: the
// holder stops counting them soon afterwards and grants others.
TEST(TokenCache, TokensExpireRelativeToSendTime)
{
    Cache cache;
    const Time sent { 10s };
    const auto request = cache.draw(sent);
    const Draw& draw = request.draws.front();
    EXPECT_LE(draw.validity, maxGrantValidity);
    const Time expiry = sent + draw.validity;
    cache.tokens.reply("holder", Cache::grantAll(request), sent + draw.validity / 2);
    EXPECT_EQ(cache.tokens.localTokens(customer, expiry - 1us), draw.wanted);
    EXPECT_EQ(cache.tokens.localTokens(customer, expiry), 0);
    EXPECT_EQ(cache.tokens.admit(customer, Retry, expiry), Admission::Wait);

    const Time second = sent + 2s;
    const auto late = cache.draw(second);
    cache.tokens.reply("holder", Cache::grantAll(late), second + late.draws.front().validity);
    EXPECT_EQ(cache.tokens.localTokens(customer, second), 0);
}

// Guards against counting tokens of replies that are repeated, come from another holder, or have no request.
TEST(TokenCache, CountsEachReplyOnce)
{
    Cache cache;
    const Time now { 10s };
    const auto request = cache.draw(now);
    const auto reply = Cache::grantAll(request);
    cache.tokens.reply("other", reply, now);
    cache.tokens.reply("holder", { reply.sequence + 1, reply.grants }, now);
    EXPECT_EQ(cache.tokens.localTokens(customer, now), 0);
    cache.tokens.reply("holder", reply, now);
    cache.tokens.reply("holder", reply, now);
    EXPECT_EQ(cache.tokens.localTokens(customer, now), request.draws.front().wanted);
}

// Guards against tokens that are returned and could still be spent, and against unused tokens that expire
// without being returned.
TEST(TokenCache, ReturnsUnusedTokens)
{
    Cache cache;
    Time now { 10s };
    for (int i = 0; i < 10; ++i)
        cache.tokens.admit(customer, First, now);
    const auto request = cache.draw(now);
    cache.tokens.reply("holder", Cache::grantAll(request), now);
    const MicroTokens granted = request.draws.front().wanted;
    EXPECT_EQ(cache.tokens.admit(customer, Retry, now), Admission::Admitted);
    for (int i = 0; i < 10; ++i)
        cache.tokens.cancelWait(customer);
    now += request.draws.front().validity - 100ms;
    const auto requests = cache.tokens.plan(now, cache.generator);
    ASSERT_EQ(requests.size(), 1U);
    const GrantReport& report = requests.front().request.draws.front().reports.front();
    EXPECT_EQ(report.grant, request.sequence);
    EXPECT_EQ(report.spent, tokensPerRequest);
    EXPECT_GT(report.returned, granted / 2);
    EXPECT_EQ(report.spent + report.returned + cache.tokens.localTokens(customer, now), granted);
}

// Guards against requests that wait for an unresponsive holder although other holders have tokens.
TEST(TokenCache, DrawsFromAnotherHolderAfterReplyTimeout)
{
    Cache cache;
    std::vector<std::string> holders(slotCount, "silent");
    for (std::size_t i = 0; i < holders.size(); i += 2)
        holders[i] = "holder";
    cache.tokens.setHolders(holders);
    std::set<std::string> drawnFrom;
    for (Model::Duration at {}; at <= 60ms; at += 20ms) {
        cache.tokens.admit(customer, First, Time { 10s } + at);
        for (const auto& draw : cache.tokens.plan(Time { 10s } + at, cache.generator))
            drawnFrom.insert(draw.holder);
    }
    EXPECT_EQ(drawnFrom.size(), 2U);
}

// Guards against wrongful refusals and waits when a customer within its rate sends to one host only. An even
// split of the rate over the nine hosts would refuse 8 of 9 requests there.
TEST(TokenCache, SkewedTrafficWithinTheRateIsServedWithoutWaiting)
{
    for (const Limits limits : { Limits { 900, 900 }, Limits { 900, 90 }, Limits { 30, 30 } }) {
        Fleet fleet({});
        const Counters counters = runSkewed(fleet, limits, 9, 100, 90);
        EXPECT_EQ(counters.refusedWrongly, 0U) << "burst " << limits.burst;
        // A burst of a tenth of a second's rate permits only batches too short to be drawn ahead every time.
        if (limits.burst >= limits.rate) {
            EXPECT_LE(counters.waited * 100, counters.admitted) << "rate " << limits.rate;
        }
    }
}

// Guards against admitting less than the rate under overload because tokens are held unused, lost or reported
// too late. Tolerates 5 %.
TEST(TokenCache, OverloadUsesTheWholeRate)
{
    for (const std::uint64_t skew : { 0U, 100U }) {
        Fleet fleet({});
        const Counters counters = runSkewed(fleet, { 900, 300 }, 9, skew, 300);
        EXPECT_GE(counters.admitted, 900U * 10 * 95 / 100) << "skew " << skew;
    }
}
