#include "core/failover/primarywatch.h"

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;
using Directory::Availability;
using Directory::Role;
using Model::Time;

namespace {

class PrimaryWatchTest : public testing::Test {
protected:
    void setUpstream(const std::string& id, Role role, Availability availability = Availability::Ready)
    {
        Directory::Upstream upstream;
        upstream.id = id;
        upstream.service = "ledger";
        upstream.zone = "zone-" + id;
        upstream.role = role;
        upstream.availability = availability;
        upstream.revision = ++m_revision;
        m_view.setUpstream(upstream);
    }

    void SetUp() override
    {
        setUpstream("p", Role::Primary);
        setUpstream("r", Role::Replica);
        m_watch.setHostCount(3);
    }

    void reportObservation(
        const std::string& host, ReachabilityState state, Time now, bool isPromoting = false)
    {
        m_watch.setHost(host, true, now);
        m_watch.setHealthObservation("ledger", { host, "p", state, isPromoting, now, {} });
    }

    void makeUnresponsive(Time from) { m_reachability.requestSent("p", from); }

    Directory::View m_view;
    Reachability m_reachability;
    PrimaryWatch m_watch { m_view, m_reachability, "self" };
    std::uint64_t m_revision = 0;
};

}

// Guards against the replacement of a primary that responds, also while it is idle and its last response is
// old.
TEST_F(PrimaryWatchTest, NothingIsDueWhilePrimaryIsReachable)
{
    m_reachability.responseReceived("p", Time { 0ms });
    EXPECT_FALSE(m_watch.due("ledger", Time { 100ms }));
    EXPECT_FALSE(m_watch.due("ledger", Time { 10s }));
}

// Guards against a primary that stays in its role although no host gets responses from it.
TEST_F(PrimaryWatchTest, ReplacesUnreachablePrimary)
{
    makeUnresponsive(Time { 0ms });
    std::optional<PromotionReason> reason;
    Time now { 0ms };
    for (; !reason && now < Time { 3s }; now += 50ms) {
        reportObservation("other", ReachabilityState::Unreachable, now);
        reason = m_watch.due("ledger", now);
    }
    EXPECT_EQ(reason, PromotionReason::Unreachable);
    EXPECT_LT(now, Time { 1s });
}

// Guards against a promotion by a host that cannot reach the primary although another host can.
TEST_F(PrimaryWatchTest, NothingIsDueWhileAnotherHostReachesPrimary)
{
    makeUnresponsive(Time { 0ms });
    for (Time now { 0ms }; now < Time { 5s }; now += 100ms) {
        reportObservation("one", ReachabilityState::Reachable, now);
        reportObservation("two", ReachabilityState::Unreachable, now);
        EXPECT_FALSE(m_watch.due("ledger", now));
    }
}

// Guards against a promotion by a host that is partitioned from most other hosts as well as from the primary.
TEST_F(PrimaryWatchTest, NothingIsDueWithoutReportsFromHalfOfTheHosts)
{
    m_watch.setHostCount(9);
    makeUnresponsive(Time { 0ms });
    EXPECT_FALSE(m_watch.due("ledger", Time { 5s }));
    EXPECT_FALSE(m_watch.due("ledger", Time { 10s }));
}

// Guards against a second promotion while another host reports that it replaces the primary.
TEST_F(PrimaryWatchTest, NothingIsDueWhileAnotherHostPromotes)
{
    makeUnresponsive(Time { 0ms });
    for (Time now { 0ms }; now < Time { 3s }; now += 100ms) {
        reportObservation("other", ReachabilityState::Unreachable, now, true);
        EXPECT_FALSE(m_watch.due("ledger", now));
    }
    EXPECT_EQ(m_watch.otherHostPromotingSince("ledger", Time { 2900ms }), Time { 0ms });
    // The other host has stopped reporting.
    EXPECT_EQ(m_watch.otherHostPromotingSince("ledger", Time { 9s }), std::nullopt);
}

// Guards against a primary that keeps its role until its process ends although it is draining or its zone was
// taken out of service.
TEST_F(PrimaryWatchTest, ReplacesDrainingOrEvacuatedPrimaryAtOnce)
{
    setUpstream("p", Role::Primary, Availability::Draining);
    EXPECT_EQ(m_watch.due("ledger", Time { 0ms }), PromotionReason::Leaving);
    setUpstream("p", Role::Primary);
    EXPECT_FALSE(m_watch.due("ledger", Time { 0ms }));
    m_view.setZoneOut("zone-p");
    EXPECT_EQ(m_watch.due("ledger", Time { 0ms }), PromotionReason::Leaving);
}

// Guards against a promotion at startup, when the primary's entry has not arrived yet because the entries of
// a service's upstreams arrive one by one.
TEST_F(PrimaryWatchTest, ReplacesMissingPrimaryAfterDelay)
{
    m_view.removeUpstream("p", Time { 0ms });
    EXPECT_FALSE(m_watch.due("ledger", Time { 0ms }));
    EXPECT_FALSE(m_watch.due("ledger", Time { 300ms }));
    EXPECT_EQ(m_watch.due("ledger", Time { 2s }), PromotionReason::Missing);
}

// Guards against the loss of commits that only a replica has acknowledged whose entry was removed before this
// host has started, so that it does not know of it.
TEST_F(PrimaryWatchTest, PromotesForSynchronousServiceOnlyIfReplicasAreKnown)
{
    auto configuration = std::make_shared<Directory::Configuration>();
    configuration->version = 1;
    configuration->services.emplace("ledger", Directory::Service { "ledger", 16 });
    configuration->services.at("ledger").synchronousReplicas = 1;
    m_view.adopt(configuration);
    setUpstream("p", Role::Primary, Availability::Draining);
    EXPECT_FALSE(m_watch.due("ledger", Time { 0ms }));
    m_watch.setUpstreamsKnown(Time { 1s });
    m_watch.setUpstreamsKnown(Time { 8s });
    EXPECT_FALSE(m_watch.due("ledger", Time { 10900ms }));
    EXPECT_EQ(m_watch.due("ledger", Time { 11s }), PromotionReason::Leaving);
}

// Guards against a promotion for a service without another upstream to promote.
TEST_F(PrimaryWatchTest, NothingIsDueWithoutCandidate)
{
    m_view.removeUpstream("r", Time { 0ms });
    setUpstream("p", Role::Primary, Availability::Draining);
    EXPECT_FALSE(m_watch.due("ledger", Time { 5s }));
}

// Guards against failovers that take seconds in a large fleet, where hosts report rarely: the suspicion of
// one host has to make all others report.
TEST_F(PrimaryWatchTest, PrimaryIsSuspectedOnReportOfOneHost)
{
    m_reachability.responseReceived("p", Time { 0ms });
    EXPECT_FALSE(m_watch.isPrimarySuspected("ledger", Time { 0ms }));
    reportObservation("other", ReachabilityState::Unreachable, Time { 100ms });
    EXPECT_TRUE(m_watch.isPrimarySuspected("ledger", Time { 200ms }));
    EXPECT_FALSE(m_watch.isPrimarySuspected("ledger", Time { 3s }));
    makeUnresponsive(Time { 3s });
    EXPECT_TRUE(m_watch.isPrimarySuspected("ledger", Time { 3500ms }));
}

// Guards against simultaneous promotions by all hosts of a large fleet: with a long report period, other
// hosts must not be removed from the ranking between two reports.
TEST_F(PrimaryWatchTest, RankCountsHostsWithLongReportPeriod)
{
    m_watch.setReportPeriod(1200ms);
    for (int host = 0; host < 40; ++host)
        m_watch.setHost("host-" + std::to_string(host), true, Time { 0ms });
    setUpstream("p", Role::Primary, Availability::Draining);
    EXPECT_FALSE(m_watch.due("ledger", Time { 1100ms }));
}

// Guards against a promotion that the smaller part of a partitioned fleet begins and cannot complete: its
// fence ends the use of the primary by the larger part once the partition heals (trouble-1 of deployment
// maillebois-prod).
TEST_F(PrimaryWatchTest, NothingIsDueWithoutTheMajorityThatAFenceNeeds)
{
    m_watch.setHostCount(9);
    m_watch.setNeedsMajority(true);
    m_view.removeUpstream("p", Time { 0ms });
    std::optional<PromotionReason> reason;
    for (Time now { 0ms }; now < Time { 3s }; now += 100ms) {
        for (const char* host : { "a", "b", "c" })
            m_watch.setHost(host, false, now);
        EXPECT_FALSE(m_watch.due("ledger", now));
    }
    for (Time now { 3s }; !reason && now < Time { 5s }; now += 100ms) {
        for (const char* host : { "a", "b", "c", "d" })
            m_watch.setHost(host, false, now);
        reason = m_watch.due("ledger", now);
    }
    EXPECT_EQ(reason, PromotionReason::Missing);
}
