#include "core/replication/group.h"
#include "core/replication/timing.h"

#include <gtest/gtest.h>

using namespace Replication;

namespace {

constexpr Model::Time start = Model::Time {} + std::chrono::hours(1);
constexpr Model::LogPosition entry { 1, 5 };

/// `a` is the primary with entry 5, `b` lags by one entry and `c` has caught up. Reads arrive in the zone of
/// `b`.
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

// Guards invariant 1 against reads from a replica that has not reached the session's position.
TEST_F(ReadRouting, SkipsReplicasBelowSessionPosition)
{
    EXPECT_EQ(route(entry).member, "c");
    EXPECT_EQ(route({ 1, 4 }).member, "b");
    EXPECT_EQ(route({}).term, 1U);
}

// Guards against reads that cross availability zones while the own zone has free execution slots, and against
// overload of the own zone's replica while another one has free slots.
TEST_F(ReadRouting, PrefersOwnZoneUnlessSlotsAreFull)
{
    loads[1].running = 1;
    EXPECT_EQ(route({}).member, "b");
    loads[1].running = 2;
    EXPECT_EQ(route({}).member, "c");
    loads[2].running = 3;
    EXPECT_EQ(route({}).member, "b");
}

// Guards against reads that burden the primary at once although a replica is about to catch up or to become
// free, and against reads that wait for a replica longer than `replicaWait`.
TEST_F(ReadRouting, UsesPrimaryAfterReplicaWait)
{
    loads[2].isUsable = false;
    const ReadRoute wait = route(entry);
    EXPECT_EQ(wait.kind, ReadRoute::Kind::Wait);
    EXPECT_EQ(wait.until, arrivedAt + replicaWait);
    now += replicaWait;
    EXPECT_EQ(route(entry).kind, ReadRoute::Kind::Primary);
}

// Guards invariants 8 and 12 against reads from a suspected member, a draining one, or one in an availability
// zone taken out of service.
TEST_F(ReadRouting, SkipsMembersOutOfService)
{
    group.observeFailure("c", ConnectionKind::Established, now);
    EXPECT_EQ(route(entry).kind, ReadRoute::Kind::Wait);
    group.replaceMembers(
        { { "a", "za" }, { "b", "zb", 1, MemberState::Leaving }, { "c", "zc", 1, MemberState::ZoneOut } },
        now);
    EXPECT_EQ(route({}).kind, ReadRoute::Kind::Primary);
}

// Guards against reads whose data is older than the requested maximum age. A replica is known to be recent
// enough only if it holds a last entry that the primary reported within that age.
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

// Guards against reads from a replaced primary. The session's position is of the new primary's term, which
// this owner does not know yet.
TEST_F(ReadRouting, DoesNotReadFromPrimaryOfLowerTerm)
{
    now += replicaWait;
    EXPECT_EQ(route({ 2, 1 }).kind, ReadRoute::Kind::Wait);
}

// Guards against reporting a position as lost because of reports that were requested before the read arrived:
// the member may have received the entry since.
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
