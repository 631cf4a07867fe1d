#include "core/failover/primaryfences.h"

#include "core/failover/primarypermission.h"

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;
using Directory::Role;
using Model::Time;

namespace {

const std::vector<std::string> others { "b", "c", "d", "e" };

class PrimaryFencesTest : public testing::Test {
protected:
    void SetUp() override
    {
        for (const std::string& host : others)
            m_awaited.hosts.push_back({ host, 1s });
        m_awaited.ownRegistrationAt = 1s;
        m_awaited.fencedAt = 100s;
        setUpstream("p", Role::Primary, 3);
        ASSERT_TRUE(m_fences.apply({ "ledger", 10, "" }, Time { 0ms }));
    }

    void setUpstream(const std::string& id, Role role, std::uint64_t revision)
    {
        Directory::Upstream upstream;
        upstream.id = id;
        upstream.service = "ledger";
        upstream.role = role;
        upstream.revision = revision;
        m_view.setUpstream(upstream);
    }

    bool isEffective(Time now) { return m_fences.isEffective("ledger", m_awaited, now); }

    Directory::View m_view;
    AwaitedHosts m_awaited;
    PrimaryFences m_fences { m_view };
};

}

// Guards against a promotion that waits although all hosts have stopped to use the previous primary.
TEST_F(PrimaryFencesTest, TakesEffectWithAllAcknowledgements)
{
    for (const std::string& host : others) {
        EXPECT_FALSE(isEffective(Time { 10ms }));
        m_fences.acknowledged(host, "ledger", 10);
    }
    EXPECT_TRUE(isEffective(Time { 10ms }));
}

// Guards against a promotion while a host that does not respond still has its permission.
TEST_F(PrimaryFencesTest, WaitsForThePermissionOfSilentHosts)
{
    m_fences.acknowledged("b", "ledger", 10);
    EXPECT_FALSE(isEffective(Time { 10s }));
    m_fences.acknowledged("c", "ledger", 9);
    EXPECT_FALSE(isEffective(Time { 12s }));
    m_fences.acknowledged("c", "ledger", 10);
    EXPECT_FALSE(isEffective(Time { 12s }));
    EXPECT_FALSE(isEffective(Time { 13500ms }));
    EXPECT_TRUE(isEffective(Time { 13600ms }));
}

// Guards against a host without an acknowledgement whose list lacks hosts that registered lately: a majority
// of its list may be hosts that do not know the fence.
TEST_F(PrimaryFencesTest, CountsOnlyHostsInTheListsOfSilentHosts)
{
    for (const char* host : { "f", "g" })
        m_awaited.hosts.push_back({ host, 99s });
    for (const char* host : { "d", "e", "f", "g" })
        m_fences.acknowledged(host, "ledger", 10);
    // "b" and "c" are silent, and are a minority of five.
    EXPECT_FALSE(isEffective(Time { 0ms }));
    EXPECT_TRUE(isEffective(Time { 2s }));
    m_fences.apply({ "ledger", 11, "" }, Time { 2s });
    for (const char* host : { "e", "f", "g" })
        m_fences.acknowledged(host, "ledger", 11);
    // "b", "c" and "d" are a majority of the five that each of them may know.
    EXPECT_FALSE(isEffective(Time { 2s }));
    EXPECT_FALSE(isEffective(Time { 4s }));
}

// Guards against a promotion that waits for 22 s because a fleet has just started and one host is silent.
TEST_F(PrimaryFencesTest, TakesEffectInAFleetThatHasJustStarted)
{
    m_awaited.fencedAt = 6s;
    for (const char* host : { "b", "c", "d" })
        m_fences.acknowledged(host, "ledger", 10);
    EXPECT_FALSE(isEffective(Time { 0ms }));
    EXPECT_TRUE(isEffective(Time { 2s }));
    // Its list may be as old as the registrations.
    m_awaited.fencedAt = 1600ms;
    EXPECT_FALSE(isEffective(Time { 4s }));
}

// Guards against a service that never gets a primary because most of the hosts are gone.
TEST_F(PrimaryFencesTest, TakesEffectWithoutAMajorityOnceNoEarlierReadCounts)
{
    EXPECT_FALSE(isEffective(Time { 22s }));
    EXPECT_TRUE(isEffective(Time { 22100ms }));
}

// Guards against a previous primary that returns and takes itself for the primary, under its own or a new id,
// beside the promoted one (own day zones on deployment maillebois-prod).
TEST_F(PrimaryFencesTest, AllowsOnlyThePromotedUpstream)
{
    EXPECT_EQ(m_view.primaryOf("ledger"), nullptr);
    m_fences.apply({ "ledger", 11, "q" }, Time { 20ms });
    setUpstream("p", Role::Primary, 12);
    setUpstream("new-id", Role::Primary, 14);
    EXPECT_EQ(m_view.primaryOf("ledger"), nullptr);
    setUpstream("q", Role::Primary, 13);
    ASSERT_NE(m_view.primaryOf("ledger"), nullptr);
    EXPECT_EQ(m_view.primaryOf("ledger")->id, "q");
}

// Guards against a service that has never had a promotion and no primary: any may be used there.
TEST_F(PrimaryFencesTest, AllowsAnyPrimaryBeforeTheFirstPromotion)
{
    m_fences.apply({ "archive", 12, std::nullopt }, Time { 20ms });
    EXPECT_TRUE(m_view.isPrimaryAllowed("archive", "x"));
    EXPECT_TRUE(m_fences.reported(Time { 30ms }).size() == 1);
}

// Guards against older changes that replace newer ones.
TEST_F(PrimaryFencesTest, IgnoresOlderChanges)
{
    EXPECT_FALSE(m_fences.apply({ "ledger", 8, "q" }, Time { 20ms }));
    EXPECT_FALSE(m_view.isPrimaryAllowed("ledger", "q"));
    ASSERT_EQ(m_fences.reported(Time { 30ms }).size(), 1U);
    EXPECT_EQ(m_fences.reported(Time { 30ms }).front().revision, 10U);
}

// Guards against a promotion that takes a change other than its fence for effective.
TEST_F(PrimaryFencesTest, OnlyAFenceBecomesEffective)
{
    m_fences.apply({ "ledger", 11, "q" }, Time { 20ms });
    for (const std::string& host : others)
        m_fences.acknowledged(host, "ledger", 11);
    EXPECT_FALSE(isEffective(Time { 30s }));
}
