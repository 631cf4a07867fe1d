#include "core/replication/group.h"
#include "core/replication/timing.h"

#include <gtest/gtest.h>

using namespace Replication;

namespace {

constexpr Model::Time start = Model::Time {} + std::chrono::hours(1);
constexpr Model::LogPosition entry { 1, 5 };

/// `a` is primary with entry 5, `b` is behind, `c` is not; reads arrive in the zone of `b`.
struct ReadRouting : testing::Test {
    void SetUp() override
    {
        report("a", entry, Role::Primary);
        report("b", { 1, 4 }, Role::Replica);
        report("c", entry, Role::Replica);
    }

    void report(const std::string& member, Model::LogPosition last, Role role, std::uint64_t promised = 1)
    {
        group.observeReport(member, { promised, last, role }, now, now);
    }

    ReadRoute route(Model::LogPosition session, std::optional<Model::Duration> maxAge = {})
    {
        return group.routeRead({ session, maxAge, "zb", arrivedAt }, loads, now);
    }

    Model::Time now = start;
    Model::Time arrivedAt = start;
    Group group { { { "a", "za", 2 }, { "b", "zb", 2 }, { "c", "zc", 2 } }, start };
    std::vector<MemberLoad> loads { {}, {}, {} };
};

}

// Guards invariant 1: a replica below the session's position does not serve the read.
TEST_F(ReadRouting, SkipsReplicasBelowSessionPosition)
{
    EXPECT_EQ(route(entry).member, "c");
    EXPECT_EQ(route({ 1, 4 }).member, "b");
    EXPECT_EQ(route({}).term, 1U);
}

TEST_F(ReadRouting, PrefersOwnZoneUnlessSlotsAreFull)
{
    loads[1].running = 1;
    EXPECT_EQ(route({}).member, "b");
    loads[1].running = 2;
    EXPECT_EQ(route({}).member, "c");
    loads[2].running = 3;
    EXPECT_EQ(route({}).member, "b");
}

// Guards the share of reads served by replicas: a read waits shortly before it goes to the primary.
TEST_F(ReadRouting, UsesPrimaryAfterReplicaWait)
{
    loads[2].isUsable = false;
    const ReadRoute wait = route(entry);
    EXPECT_EQ(wait.kind, ReadRoute::Kind::Wait);
    EXPECT_EQ(wait.until, arrivedAt + replicaWait);
    now += replicaWait;
    EXPECT_EQ(route(entry).kind, ReadRoute::Kind::Primary);
}

// Guards invariants 8 and 12.
TEST_F(ReadRouting, SkipsMembersOutOfService)
{
    group.observeFailure("c", ConnectionKind::Established, now);
    EXPECT_EQ(route(entry).kind, ReadRoute::Kind::Wait);
    group.replaceMembers(
        { { "a", "za" }, { "b", "zb", 1, MemberState::Leaving }, { "c", "zc", 1, MemberState::ZoneOut } },
        now);
    EXPECT_EQ(route({}).kind, ReadRoute::Kind::Primary);
}

// Guards the stated age: a replica counts as recent only by a report of the primary of that time.
TEST_F(ReadRouting, SkipsReplicasAboveMaximumAge)
{
    now += 1s;
    arrivedAt = now;
    report("a", { 1, 6 }, Role::Primary);
    report("b", { 1, 4 }, Role::Replica);
    report("c", entry, Role::Replica);
    EXPECT_EQ(route({}, 500ms).kind, ReadRoute::Kind::Wait);
    EXPECT_EQ(route({}, 1s).member, "c");
    EXPECT_EQ(route({ 1, 6 }, 1s).kind, ReadRoute::Kind::Wait) << "the age does not relax the session";
    report("c", { 1, 6 }, Role::Replica);
    EXPECT_EQ(route({}, 500ms).member, "c");
    now += replicaWait;
    report("c", entry, Role::Replica);
    EXPECT_EQ(route({}, 10ms).kind, ReadRoute::Kind::Primary);
}

// Guards against reading from a replaced primary that a session of its successor reaches.
TEST_F(ReadRouting, DoesNotReadFromPrimaryOfLowerTerm)
{
    now += replicaWait;
    EXPECT_EQ(route({ 2, 1 }).kind, ReadRoute::Kind::Wait);
}

// Guards against reporting a position as lost on the strength of reports from before the read.
TEST_F(ReadRouting, ReportsPositionLostOnlyAfterNewerReports)
{
    now += replicaWait;
    EXPECT_EQ(route({ 1, 9 }).kind, ReadRoute::Kind::Primary) << "the primary has all entries of its term";
    report("a", entry, Role::Primary);
    EXPECT_EQ(route({ 1, 9 }).kind, ReadRoute::Kind::PositionLost);
    EXPECT_EQ(route({ 2, 1 }).kind, ReadRoute::Kind::Wait);
    report("b", { 1, 4 }, Role::Replica);
    report("c", entry, Role::Replica);
    EXPECT_EQ(route({ 2, 1 }).kind, ReadRoute::Kind::PositionLost);
}
