#include "core/replication/candidate.h"
#include "core/replication/group.h"
#include "core/replication/timing.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace Replication;

namespace {

constexpr Model::Time start = Model::Time {} + std::chrono::hours(1);

/// A group of three members. `a` is the primary of term 1, and its log has one entry.
struct GroupTest : testing::Test {
    void SetUp() override
    {
        report("a", 1, { 1, 1 }, Role::Primary);
        report("b", 1, { 1, 1 }, Role::Replica);
        report("c", 1, { 1, 1 }, Role::Replica);
    }

    void report(const std::string& member, std::uint64_t promised, Model::LogPosition last,
        std::optional<Role> role = Role::Replica)
    {
        group.observeReport(member, { promised, last, role }, now, now);
    }

    /// Collects the group's actions: `probes` those of this call, `fences`, `promotes` and `follows` those of
    /// all calls.
    void act()
    {
        probes.clear();
        for (const Action& action : group.nextActions(now, generator)) {
            if (const auto* probe = std::get_if<Probe>(&action))
                probes.push_back(*probe);
            else if (const auto* fence = std::get_if<Fence>(&action))
                fences.push_back(*fence);
            else if (const auto* promote = std::get_if<Promote>(&action))
                promotes.push_back(*promote);
            else if (const auto* follow = std::get_if<Follow>(&action))
                follows.push_back(*follow);
        }
    }

    /// Lets calls to `a` fail for `duration` while `b` and `c` respond. With `ConnectionKind::Established`, a
    /// new connection to `a` works; with `ConnectionKind::New`, it fails too.
    void failureOfA(Model::Duration duration, ConnectionKind failing)
    {
        for (const Model::Time end = now + duration; now < end; now += 100ms) {
            report("b", 1, { 1, 1 });
            report("c", 1, { 1, 1 });
            act();
            for (const Probe& probe : probes) {
                if (probe.member != "a")
                    continue;
                if (probe.connection == ConnectionKind::Established || failing == ConnectionKind::New)
                    group.observeFailure("a", probe.connection, now);
                else
                    report("a", 1, { 1, 1 }, Role::Primary);
            }
        }
    }

    /// Starts a promotion and fences `b` and `c`, which report the given last entries. Returns its term.
    std::uint64_t fenceBAndC(Model::LogPosition lastOfB, Model::LogPosition lastOfC)
    {
        failureOfA(2s, ConnectionKind::New);
        EXPECT_EQ(fences.size(), 3U);
        const std::uint64_t term = fences.at(0).term;
        group.fenceAnswered("b", term, { true, term, lastOfB }, now, now);
        group.fenceAnswered("c", term, { true, term, lastOfC }, now, now);
        act();
        return term;
    }

    std::vector<Probe> probes;
    std::vector<Fence> fences;
    std::vector<Promote> promotes;
    std::vector<Follow> follows;
    Model::Time now = start;
    Generator generator { 1 };
    Group group { { { "a", "za" }, { "b", "zb" }, { "c", "zc" } }, start };
};

}

// Guards invariant 2 against writes that are confirmed by reports of another term, or by fewer members than a
// majority including the primary.
TEST_F(GroupTest, ConfirmsOnlyInTermOfWrite)
{
    const Model::LogPosition first = group.observeWrite("a", 1, { 1, 2 }, now, now);
    EXPECT_EQ(group.confirmation(first), Confirmation::Pending);
    report("c", 1, { 1, 2 }, std::nullopt);
    EXPECT_EQ(group.confirmation(first), Confirmation::Confirmed);
    const Model::LogPosition second = group.observeWrite("a", 1, { 1, 3 }, now, now);
    report("b", 2, { 1, 3 });
    EXPECT_EQ(group.confirmation(second), Confirmation::Pending);
    report("c", 2, { 1, 2 });
    EXPECT_EQ(group.confirmation(second), Confirmation::Superseded);
    EXPECT_EQ(group.confirmation(first), Confirmation::Confirmed);
}

// Guards against acknowledging a repeated request id because its entry of an older term is confirmed. The
// current primary may still lose that entry before an entry of its own term is confirmed.
TEST_F(GroupTest, RepeatedRequestIdNeedsEntryOfCurrentTerm)
{
    report("b", 5, { 1, 1 }, Role::Primary);
    report("c", 5, { 1, 1 });
    const Model::LogPosition toConfirm = group.observeWrite("b", 5, { 1, 1 }, now, now);
    EXPECT_FALSE(group.isConfirmed(toConfirm));
    report("b", 5, { 5, 2 }, Role::Primary);
    report("c", 5, { 5, 2 });
    EXPECT_TRUE(group.isConfirmed(toConfirm));
}

// Guards against a report that overtakes another one: the late report must not lower the promised term, nor
// restore an earlier role.
TEST_F(GroupTest, OutOfOrderReportDoesNotLowerTerm)
{
    const Model::Time sentAt = now;
    now += 10ms;
    report("b", 3, { 1, 1 });
    group.observeReport("b", { 1, Model::LogPosition { 1, 1 }, Role::Primary }, sentAt, now);
    EXPECT_EQ(group.members()[1].promisedTerm(), 3U);
    EXPECT_EQ(group.members()[1].role(), Role::Replica);
}

// Guards against a failover that is caused only by unresponsive open connections, while new connections to
// the primary work.
TEST_F(GroupTest, KeepsPrimaryIfNewConnectionsRespond)
{
    failureOfA(4s, ConnectionKind::Established);
    EXPECT_TRUE(group.primary(now).has_value());
    EXPECT_FALSE(group.isPromoting());
}

// Guards against a failover that starts too early or too late after the primary stops responding, and against
// writes that are sent to a suspected primary instead of waiting.
TEST_F(GroupTest, PromotesAfterUnresponsiveLimitAndFailedNewConnection)
{
    failureOfA(1400ms, ConnectionKind::New);
    EXPECT_FALSE(group.isPromoting());
    EXPECT_EQ(group.routeWrite(now, now).kind, WriteRoute::Kind::Wait);
    failureOfA(700ms, ConnectionKind::New);
    EXPECT_TRUE(group.isPromoting());
    EXPECT_FALSE(group.primary(now).has_value());
}

// Guards against a failover from a primary that has not responded for long although no new connection to it
// has failed.
TEST_F(GroupTest, KeepsPrimaryWithoutFailedNewConnection)
{
    for (const Model::Time end = now + 3s; now < end; now += 100ms) {
        report("b", 1, { 1, 1 });
        report("c", 1, { 1, 1 });
        act();
    }
    EXPECT_FALSE(group.isPromoting());
}

// Guards against statements sent to a failed primary while no majority is reachable to replace it.
TEST_F(GroupTest, ReportsNoPrimaryAfterFailureWithoutMajority)
{
    now += unresponsiveLimit;
    EXPECT_TRUE(group.primary(now).has_value());
    group.observeFailure("a", ConnectionKind::New, now);
    EXPECT_FALSE(group.primary(now).has_value());
}

// Guards against sending writes while no majority is reachable that could confirm them: their outcome would
// be unknown.
TEST_F(GroupTest, QueuesWritesWithoutReachableMajority)
{
    now += unresponsiveLimit;
    report("a", 1, { 1, 1 }, Role::Primary);
    EXPECT_EQ(group.routeWrite(now, now).kind, WriteRoute::Kind::Wait);
    report("c", 1, { 1, 1 });
    EXPECT_EQ(group.routeWrite(now, now).kind, WriteRoute::Kind::Run);
}

// Guards against writes that wait longer than the promotion bound of 8 s for a primary; after that they are
// rejected at once.
TEST_F(GroupTest, RejectsWritesAfterPromotionBound)
{
    act();
    now += 2s;
    act();
    EXPECT_EQ(group.routeWrite(now, now).kind, WriteRoute::Kind::Wait);
    now += promotionBound;
    EXPECT_EQ(group.routeWrite(now, now).kind, WriteRoute::Kind::NoPrimary);
}

// Guards against two primaries of one term. The response to a promote call is lost, so the call may have
// taken effect: only the same member may be promoted in this term, and its status shows the outcome.
TEST_F(GroupTest, ResolvesLostPromoteByStatus)
{
    const std::uint64_t term = fenceBAndC({ 1, 1 }, { 1, 2 });
    ASSERT_EQ(promotes.size(), 1U);
    EXPECT_EQ(promotes[0].member, "c");
    group.promoteLost("c", term);
    act();
    EXPECT_FALSE(probes.empty());
    report("c", term, { 1, 2 });
    act();
    ASSERT_EQ(promotes.size(), 2U);
    EXPECT_EQ(promotes[1].member, "c");
    EXPECT_EQ(promotes[1].term, term);
    group.promoteLost("c", term);
    report("c", term, { term, 3 }, Role::Primary);
    act();
    ASSERT_TRUE(group.primary(now).has_value());
    EXPECT_EQ(group.primary(now)->member, "c");
    ASSERT_FALSE(follows.empty());
    EXPECT_EQ(follows.back().member, "b");
    EXPECT_EQ(follows.back().primary, "c");
    EXPECT_EQ(follows.back().term, term);
}

// Guards against a promotion that cannot finish because the response to one fence call was lost.
TEST_F(GroupTest, RepeatsLostFence)
{
    failureOfA(2s, ConnectionKind::New);
    ASSERT_EQ(fences.size(), 3U);
    group.fenceLost("c", fences[0].term, now);
    act();
    ASSERT_EQ(fences.size(), 4U);
    EXPECT_EQ(fences[3].member, "c");
    // The first call took effect: the repeated one is rejected with the same term, and the member's status
    // reports its last entry.
    group.fenceAnswered("c", fences[0].term, { false, fences[0].term, {} }, now, now);
    group.fenceAnswered("b", fences[0].term, { true, fences[0].term, { 1, 1 } }, now, now);
    act();
    EXPECT_TRUE(promotes.empty());
    EXPECT_TRUE(std::ranges::any_of(probes, [](const Probe& probe) { return probe.member == "c"; }));
    report("c", fences[0].term, { 1, 2 });
    act();
    ASSERT_EQ(promotes.size(), 1U);
    EXPECT_EQ(promotes[0].member, "c");
}

// Guards against promoting a stalled primary again. It responds and has the highest last entry, but nothing
// replicates from it.
TEST_F(GroupTest, DoesNotPromoteStalledPrimaryAgain)
{
    for (const Model::Time end = now + stallLimit + 1s; now < end && fences.empty(); now += 100ms) {
        report("a", 1, { 1, 9 }, Role::Primary);
        report("b", 1, { 1, 1 });
        report("c", 1, { 1, 1 });
        act();
    }
    ASSERT_EQ(fences.size(), 3U);
    const std::uint64_t term = fences[0].term;
    group.fenceAnswered("a", term, { true, term, { 1, 9 } }, now, now);
    group.fenceAnswered("b", term, { true, term, { 1, 1 } }, now, now);
    for (const Model::Time end = now + fencingLimit; now <= end; now += 100ms)
        act();
    EXPECT_TRUE(promotes.empty());
}

// Guards invariant 2 against writes to a primary that still responds but was replaced by another host, which
// shows in the higher term that a majority has promised.
TEST_F(GroupTest, ReportsNoPrimaryAfterMajorityPromisedHigherTerm)
{
    report("b", 7, { 1, 1 });
    EXPECT_TRUE(group.primary(now).has_value());
    report("c", 7, { 1, 1 });
    EXPECT_FALSE(group.primary(now).has_value());
    EXPECT_EQ(group.routeWrite(now, now).kind, WriteRoute::Kind::Wait);
}

// Guards against a promotion whose majority is counted among the members of an earlier configuration.
TEST_F(GroupTest, MemberChangeEndsPromotion)
{
    failureOfA(2s, ConnectionKind::New);
    ASSERT_TRUE(group.isPromoting());
    group.replaceMembers({ { "a", "za" }, { "b", "zb" }, { "c", "zc" }, { "d", "zd" } }, now);
    EXPECT_FALSE(group.isPromoting());
}

// Guards against a member that stays fenced under a higher term than the primary's, because the promotion
// that fenced it never finished, and can therefore no longer follow the primary.
TEST_F(GroupTest, PromotesWithNewTermAfterOrphanedFence)
{
    for (const Model::Time end = now + orphanedFenceLimit + 100ms; now < end; now += 100ms) {
        EXPECT_FALSE(group.isPromoting());
        report("a", 1, { 1, 1 }, Role::Primary);
        report("b", 7, { 1, 1 });
        report("c", 1, { 1, 1 });
        act();
    }
    ASSERT_EQ(fences.size(), 3U);
    EXPECT_GT(fences[0].term, 7U);
}

// Guards against two hosts whose promotions keep superseding each other: a host whose fence is rejected for a
// higher term ends its attempt and starts no other for at least 100 ms.
TEST_F(GroupTest, BacksOffAfterRejectedFence)
{
    failureOfA(2s, ConnectionKind::New);
    ASSERT_EQ(fences.size(), 3U);
    const std::uint64_t higher = fences[0].term + (std::uint64_t { 1 } << 30);
    group.fenceAnswered("b", fences[0].term, { false, higher, {} }, now, now);
    act();
    EXPECT_FALSE(group.isPromoting());
    for (const Model::Time until = now + backOffMinimum; now < until; now += 10ms) {
        report("b", higher, { 1, 1 });
        report("c", higher, { 1, 1 });
        act();
        EXPECT_FALSE(group.isPromoting());
    }
    now = now + backOffMaximum;
    report("b", higher, { 1, 1 });
    report("c", higher, { 1, 1 });
    act();
    ASSERT_EQ(fences.size(), 6U);
    EXPECT_GT(fences[3].term, higher);
}

// Guards invariants 8 and 12 against a primary that stays on a member taken out of service, and against a
// promotion before writes in progress have ended and a replica has caught up.
TEST_F(GroupTest, PlannedSwitchoverWaitsForCaughtUpReplica)
{
    group.setWritesInProgress(1);
    group.replaceMembers({ { "a", "za", 1, MemberState::ZoneOut }, { "b", "zb" }, { "c", "zc" } }, now);
    act();
    EXPECT_TRUE(group.isHoldingWrites());
    EXPECT_EQ(group.routeWrite(now, now).kind, WriteRoute::Kind::Wait);
    now += 1ms;
    report("a", 1, { 1, 5 }, Role::Primary);
    group.setWritesInProgress(0);
    act();
    EXPECT_TRUE(fences.empty()) << "no replica has the last entry";
    report("c", 1, { 1, 5 });
    act();
    EXPECT_EQ(fences.size(), 3U);
    const std::uint64_t term = fences.at(0).term;
    for (const char* member : { "a", "b", "c" })
        group.fenceAnswered(member, term, { true, term, { 1, member[0] == 'b' ? 1U : 5U } }, now, now);
    act();
    ASSERT_EQ(promotes.size(), 1U);
    EXPECT_EQ(promotes[0].member, "c");
}

// Guards against a planned switchover that holds writes forever because no replica catches up.
TEST_F(GroupTest, PlannedSwitchoverProceedsAfterHoldLimit)
{
    group.replaceMembers({ { "a", "za", 1, MemberState::Leaving }, { "b", "zb" }, { "c", "zc" } }, now);
    for (const Model::Time end = now + holdLimit + 100ms; now < end; now += 20ms) {
        report("a", 1, { 1, 5 }, Role::Primary);
        report("b", 1, { 1, 1 });
        report("c", 1, { 1, 1 });
        act();
    }
    EXPECT_EQ(fences.size(), 3U);
}

// Guards against losing acknowledged writes by choosing a candidate from fewer members than a majority.
TEST(Candidate, RequiresMajority)
{
    std::vector<FencedMember> fenced { { "a", { 1, 9 }, false } };
    EXPECT_FALSE(chooseCandidate(fenced, 3).has_value());
    fenced.push_back({ "b", { 1, 5 } });
    EXPECT_EQ(chooseCandidate(fenced, 3), "a") << "b alone may lack acknowledged writes";
    fenced.push_back({ "c", { 1, 6 } });
    EXPECT_EQ(chooseCandidate(fenced, 3), "c");
}

// Guards against two hosts that start from the same view and choose the same term, and against a term that is
// not higher than the known ones.
TEST(Term, HostsChooseDifferentHigherTerms)
{
    Generator first(1);
    Generator second(2);
    const std::uint64_t highest = nextTerm(0, first);
    EXPECT_EQ(highest >> 24, 1U);
    EXPECT_GT(nextTerm(highest, second), highest);
    EXPECT_NE(nextTerm(highest, first), nextTerm(highest, second));
}
