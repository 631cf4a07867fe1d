#include "core/failover/promotion.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;
using Directory::Availability;
using Directory::Role;
using Model::Time;

namespace {

class PromotionTest : public testing::Test {
protected:
    void SetUp() override
    {
        setUpstream("p", Role::Primary);
        setUpstream("q", Role::Replica);
        setUpstream("r", Role::Replica);
    }

    /// Without an address, the upstream has one of its own.
    void setUpstream(const std::string& id, Role role, Availability availability = Availability::Ready,
        const std::string& address = {})
    {
        Directory::Upstream upstream;
        upstream.id = id;
        upstream.address = address.empty() ? id : address;
        upstream.service = "ledger";
        upstream.role = role;
        upstream.availability = availability;
        upstream.revision = ++m_revision;
        m_view.setUpstream(upstream);
    }

    /// From now on, commits of the service wait for one replica.
    void makeSynchronous()
    {
        auto configuration = std::make_shared<Directory::Configuration>();
        configuration->version = 1;
        Directory::Service service;
        service.name = "ledger";
        service.synchronousReplicas = 1;
        configuration->services.emplace(service.name, service);
        m_view.adopt(configuration);
    }

    /// Valid until the next call.
    Promotion& promotion(PromotionReason reason)
    {
        PromotionHooks hooks;
        hooks.recordCandidate = [this](const std::string&, const std::string& upstream) {
            m_recorded = upstream;
            if (m_isStoreReachable)
                m_run->candidateRecorded(true, Time { 0ms });
        };
        hooks.acquireLease = [this](const std::string&, Fence fence) {
            ++m_leasesRequested;
            m_fence = fence;
        };
        hooks.requestStatus = [this](const std::string& upstream) { m_statusRequests.push_back(upstream); };
        hooks.stepDown = [this](const std::string& upstream, std::uint64_t term) {
            m_steppedDown = upstream;
            m_stepDownTerm = term;
        };
        hooks.pause = [this](const std::string& upstream, std::uint64_t term) {
            m_pauses.emplace_back(upstream, term);
            if (m_answersPauses)
                m_run->pauseAnswered(upstream, term, m_reported[upstream], Time { 0ms });
        };
        hooks.resume = [this](const std::string& upstream) { m_resumed.push_back(upstream); };
        hooks.requestPromotion = [this](const std::string&, const std::string& upstream, FencingToken token) {
            m_promotionRequests.push_back(upstream);
            m_token = token;
        };
        hooks.isReachable = [this](const std::string& upstream) { return !m_unreachable.contains(upstream); };
        hooks.mayHaveLostLog = [this](const std::string&, Time) { return m_mayHaveLostLog; };
        hooks.knownPosition = [this](const std::string& upstream) { return m_knownPositions[upstream]; };
        hooks.surveyed = [this](const SurveyResult& result) { m_surveyResult = result; };
        hooks.mayPromoteDiverged = [this](Time) { return m_mayPromoteDiverged; };
        if (m_needsFence)
            hooks.isFenceEffective = [this](const std::string&, Time) { return m_isFenceEffective; };
        m_run = std::make_unique<Promotion>(m_view, "ledger", reason, "p", std::move(hooks), Time { 0ms });
        return *m_run;
    }

    /// Delivers a response to the running promotion.
    void report(const std::string& upstream, const std::optional<UpstreamStatus>& status, Time now)
    {
        if (status)
            m_reported[upstream] = *status;
        m_run->statusArrived(upstream, status, now);
    }

    /// A promotion of an unreachable primary in which both replicas have reported the same position.
    Promotion& surveyedPromotion()
    {
        Promotion& run = promotion(PromotionReason::Unreachable);
        run.leaseAcquired(1, Time { 10ms });
        report("q", status(100), Time { 20ms });
        report("r", status(100), Time { 20ms });
        return run;
    }

    static UpstreamStatus status(std::uint64_t position, Role role = Role::Replica)
    {
        return { role, 3, { 3, position } };
    }

    Directory::View m_view;
    std::uint64_t m_revision = 0;
    int m_leasesRequested = 0;
    Fence m_fence = Fence::None;
    /// The upstream whose promotion was to be recorded.
    std::string m_recorded;
    /// If not, `recordCandidate` gets no answer.
    bool m_isStoreReachable = true;
    bool m_needsFence = false;
    bool m_isFenceEffective = false;
    std::vector<std::string> m_statusRequests;
    std::string m_steppedDown;
    std::uint64_t m_stepDownTerm = 0;
    std::vector<std::string> m_promotionRequests;
    FencingToken m_token = 0;
    std::set<std::string> m_unreachable;
    SurveyResult m_surveyResult;
    bool m_mayPromoteDiverged = false;
    bool m_mayHaveLostLog = true;
    std::map<std::string, Model::LogPosition> m_knownPositions;
    /// The last status that each upstream has reported.
    std::map<std::string, UpstreamStatus> m_reported;
    /// The requested pauses, with their terms.
    std::vector<std::pair<std::string, std::uint64_t>> m_pauses;
    bool m_answersPauses = true;
    std::vector<std::string> m_resumed;
    std::unique_ptr<Promotion> m_run;
};

}

// Guards against the loss of acknowledged commits that only the most advanced replica has received.
TEST_F(PromotionTest, PromotesMostAdvancedReplica)
{
    Promotion& run = promotion(PromotionReason::Unreachable);
    EXPECT_EQ(m_leasesRequested, 1);
    run.leaseAcquired(7, Time { 10ms });
    EXPECT_EQ(m_statusRequests, (std::vector<std::string> { "q", "r" }));
    report("q", status(100), Time { 20ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    report("r", status(101), Time { 30ms });
    ASSERT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
    EXPECT_EQ(m_token, 7U);
    run.promotionAnswered(PromotionRequestResult::Accepted, Time { 40ms });
    EXPECT_FALSE(run.isOver());
    setUpstream("r", Role::Primary);
    run.update(Time { 300ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Finished);
}

// Guards against the promotion of a replica that lags behind because a more advanced one responded later (run
// scale-2 of deployment asahi-bindery: 57 acknowledged commits rolled back).
TEST_F(PromotionTest, WaitsForStatusOfReachableReplica)
{
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(40), Time { 20ms });
    report("r", std::nullopt, Time { 100ms });
    run.update(Time { 400ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(std::ranges::count(m_statusRequests, "r"), 2);
    report("r", status(97), Time { 450ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against a promotion that is delayed by the wait for a replica that is unreachable like the primary.
TEST_F(PromotionTest, DoesNotWaitForUnreachableReplica)
{
    m_unreachable.insert("r");
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(40), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "q" });
}

// Guards against a planned change of the primary that loses the last commits that the previous primary
// acknowledged.
TEST_F(PromotionTest, LeavingPrimaryStepsDownBeforePromotion)
{
    Promotion& run = promotion(PromotionReason::Leaving);
    run.leaseAcquired(1, Time { 10ms });
    report("p", status(100, Role::Primary), Time { 20ms });
    report("q", status(90), Time { 20ms });
    report("r", status(95), Time { 20ms });
    EXPECT_EQ(m_steppedDown, "p");
    EXPECT_EQ(m_stepDownTerm, 4U);
    EXPECT_TRUE(m_promotionRequests.empty());
    report("p", status(102), Time { 30ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    report("r", status(102), Time { 60ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against a service without a primary because the answer to the promotion request was lost.
TEST_F(PromotionTest, RepeatsRequestWithUnknownOutcome)
{
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(5, Time { 10ms });
    report("q", status(1), Time { 20ms });
    report("r", status(1), Time { 20ms });
    run.promotionAnswered(PromotionRequestResult::Unknown, Time { 320ms });
    EXPECT_EQ(m_promotionRequests.size(), 1U);
    run.update(Time { 500ms });
    EXPECT_EQ(m_promotionRequests.size(), 2U);
    EXPECT_EQ(m_promotionRequests.front(), m_promotionRequests.back());
    run.promotionAnswered(PromotionRequestResult::Accepted, Time { 510ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Awaiting);
}

// Guards against a previous lease holder that repeats its request after a newer holder's was carried out.
TEST_F(PromotionTest, FailsOnRefusedRequest)
{
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(5, Time { 10ms });
    report("q", status(1), Time { 20ms });
    report("r", status(2), Time { 20ms });
    run.promotionAnswered(PromotionRequestResult::Refused, Time { 30ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
    run.update(Time { 2s });
    EXPECT_EQ(m_promotionRequests.size(), 1U);
}

// Guards against a second change of the primary right after that of another host, whose result this host may
// receive while it acquires the lease.
TEST_F(PromotionTest, FinishesIfAnotherUpstreamBecamePrimaryBeforeSurvey)
{
    Promotion& run = promotion(PromotionReason::Unreachable);
    setUpstream("q", Role::Primary);
    run.leaseAcquired(5, Time { 10ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Finished);
    EXPECT_TRUE(m_statusRequests.empty());
}

// Guards against a promotion without the promotion lease.
TEST_F(PromotionTest, FailsWithoutLease)
{
    Promotion& run = promotion(PromotionReason::Missing);
    EXPECT_FALSE(run.holdsLease());
    run.leaseAcquired(std::nullopt, Time { 10ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
    EXPECT_TRUE(m_statusRequests.empty());
}

// Guards against two primaries on a platform whose promotion does not take the role from the previous one.
TEST_F(PromotionTest, RequestsNothingBeforeTheFenceIsEffective)
{
    m_needsFence = true;
    m_isStoreReachable = false;
    Promotion& run = promotion(PromotionReason::Unreachable);
    EXPECT_EQ(m_fence, Fence::Set);
    run.leaseAcquired(1, Time { 10ms });
    run.update(Time { 500ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Fencing);
    // Positions reported earlier would lack commits that the previous primary still accepted.
    EXPECT_TRUE(m_statusRequests.empty());
    m_isFenceEffective = true;
    run.update(Time { 510ms });
    report("q", status(100), Time { 520ms });
    report("r", status(101), Time { 520ms });
    // Without the store's confirmation, hosts that start later would use no primary or the wrong one.
    EXPECT_EQ(m_recorded, "r");
    EXPECT_TRUE(m_promotionRequests.empty());
    run.candidateRecorded(true, Time { 525ms });
    ASSERT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
    run.promotionAnswered(PromotionRequestResult::Accepted, Time { 530ms });
    setUpstream("r", Role::Primary);
    run.update(Time { 900ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Finished);
    EXPECT_EQ(m_steppedDown, "p");
    EXPECT_EQ(m_stepDownTerm, 4U);
}

// Guards against a planned change without a fence although the previous primary may not have stepped down.
TEST_F(PromotionTest, FencesPrimaryThatDoesNotStepDown)
{
    m_needsFence = true;
    Promotion& run = promotion(PromotionReason::Leaving);
    EXPECT_EQ(m_fence, Fence::None);
    m_isFenceEffective = true;
    run.leaseAcquired(1, Time { 10ms });
    report("p", status(100, Role::Primary), Time { 20ms });
    report("q", status(100), Time { 20ms });
    report("r", status(100), Time { 20ms });
    EXPECT_EQ(m_steppedDown, "p");
    run.update(Time { 500ms });
    EXPECT_EQ(m_fence, Fence::Set);
    EXPECT_EQ(m_leasesRequested, 2);
    EXPECT_TRUE(m_promotionRequests.empty());
}

// Guards against a promotion request by a host that was frozen until another host could hold the lease: the
// platform may not check the token.
TEST_F(PromotionTest, SendsNoRequestAfterTheEndOfTheLease)
{
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(100), Time { 20ms });
    report("r", status(101), Time { 3100ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
}

// Guards against the loss of commits that only one replica has acknowledged: while it does not respond,
// another one must not be promoted.
TEST_F(PromotionTest, PromotesNoneWhileSynchronousReplicaIsSilent)
{
    makeSynchronous();
    m_unreachable.insert("r");
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(40), Time { 20ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    run.update(Time { 1500ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
}

// Guards against a service without a primary because of a replica that left or is lost.
TEST_F(PromotionTest, DoesNotWaitForSynchronousReplicaThatIsGone)
{
    makeSynchronous();
    m_unreachable.insert("r");
    m_view.removeUpstream("r", Time { -10s });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(40), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "q" });
}

// Guards against the loss of commits that only a replica without an entry in the directory has acknowledged
// (review/8): it runs, but does not reach the store.
TEST_F(PromotionTest, PromotesSynchronousReplicaWhoseEntryWasRemoved)
{
    makeSynchronous();
    m_view.removeUpstream("r", Time { -60s });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    EXPECT_EQ(m_statusRequests, (std::vector<std::string> { "q", "r" }));
    report("q", status(40), Time { 20ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    report("r", status(41), Time { 30ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against the same if the replica does not respond: it may be back with its log.
TEST_F(PromotionTest, PromotesNoneWhileFormerSynchronousReplicaMayReturn)
{
    makeSynchronous();
    m_unreachable.insert("r");
    m_view.removeUpstream("r", Time { -5s });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(40), Time { 20ms });
    run.update(Time { 1400ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
    // Nor if the entry is removed while the statuses are awaited.
    setUpstream("r", Role::Replica);
    Promotion& next = promotion(PromotionReason::Unreachable);
    next.leaseAcquired(2, Time { 10ms });
    m_view.removeUpstream("r", Time { 15ms });
    report("q", status(40), Time { 20ms });
    next.update(Time { 1400ms });
    EXPECT_TRUE(m_promotionRequests.empty());
}

// Guards against a promotion that does not ask the successor of a removed replica, which has its log.
TEST_F(PromotionTest, AsksSuccessorOfSynchronousReplica)
{
    makeSynchronous();
    m_view.removeUpstream("r", Time { -1s });
    m_unreachable.insert("r");
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(40), Time { 20ms });
    setUpstream("s", Role::Replica, Availability::Ready, "r");
    run.update(Time { 30ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    report("s", status(41), Time { 40ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "s" });
}

// Guards against a service without synchronous replicas that waits for an upstream that hosts cannot use.
TEST_F(PromotionTest, IgnoresFormerReplicaWithoutSynchronousReplicas)
{
    m_view.removeUpstream("r", Time { -1s });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    EXPECT_EQ(m_statusRequests, std::vector<std::string> { "q" });
    report("q", status(40), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "q" });
}

// Guards against the loss of commits of an earlier term after two changes of the primary: the only replica
// has received nothing since before the first one.
TEST_F(PromotionTest, PromotesNoSynchronousReplicaOfEarlierTerm)
{
    makeSynchronous();
    m_knownPositions["p"] = { 4, 50 };
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(40), Time { 20ms });
    report("r", status(45), Time { 20ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
}

// Guards against the loss of commits that only a draining replica has acknowledged.
TEST_F(PromotionTest, PromotesDrainingReplicaThatAloneHasAcknowledgedCommits)
{
    makeSynchronous();
    setUpstream("q", Role::Replica, Availability::Draining);
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(100), Time { 20ms });
    report("r", status(95), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "q" });
}

// Guards against the promotion of an upstream that is about to leave although another one has the same log.
TEST_F(PromotionTest, PrefersReplicaThatAcceptsWorkAmongEqualLogs)
{
    makeSynchronous();
    setUpstream("q", Role::Replica, Availability::Draining);
    Promotion& run = promotion(PromotionReason::Missing);
    run.leaseAcquired(1, Time { 10ms });
    report("q", status(100), Time { 20ms });
    report("r", status(100), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against a planned change that loses commits which only another leaving upstream has acknowledged.
TEST_F(PromotionTest, KeepsLeavingPrimaryUntilReplicaHasAcknowledgedCommits)
{
    makeSynchronous();
    setUpstream("q", Role::Replica, Availability::Draining);
    Promotion& run = promotion(PromotionReason::Leaving);
    run.leaseAcquired(1, Time { 10ms });
    report("p", status(100, Role::Primary), Time { 20ms });
    report("q", status(100), Time { 20ms });
    report("r", status(90), Time { 20ms });
    EXPECT_TRUE(m_steppedDown.empty());
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
}

// Guards against the loss of the last commits in a planned change during which the replicas receive nothing.
TEST_F(PromotionTest, ReturnsRoleToLeavingPrimaryIfNoReplicaCatchesUp)
{
    makeSynchronous();
    Promotion& run = promotion(PromotionReason::Leaving);
    run.leaseAcquired(1, Time { 10ms });
    report("p", status(100, Role::Primary), Time { 20ms });
    report("q", status(100), Time { 20ms });
    report("r", status(90), Time { 20ms });
    EXPECT_EQ(m_steppedDown, "p");
    report("p", status(102), Time { 30ms });
    run.update(Time { 300ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    run.update(Time { 500ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "p" });
}

// Guards against the loss of commits that a leaving primary has acknowledged while the answer to its
// step-down was awaited: another replica may have received them than the one with the longest log before.
TEST_F(PromotionTest, SurveysAgainIfStepDownIsNotAnswered)
{
    makeSynchronous();
    Promotion& run = promotion(PromotionReason::Leaving);
    run.leaseAcquired(1, Time { 10ms });
    report("p", status(100, Role::Primary), Time { 20ms });
    report("q", status(100), Time { 20ms });
    report("r", status(99), Time { 20ms });
    EXPECT_EQ(m_steppedDown, "p");
    run.update(Time { 500ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    report("q", status(100), Time { 510ms });
    report("r", status(105), Time { 510ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against a primary that is asked to step down right after it got its role back, where the hosts use
// the role as they have agreed.
TEST_F(PromotionTest, DoesNotStepDownPrimaryThatKeepsItsRole)
{
    makeSynchronous();
    m_needsFence = true;
    m_isFenceEffective = true;
    m_isStoreReachable = false;
    Promotion& run = promotion(PromotionReason::Leaving);
    run.leaseAcquired(1, Time { 10ms });
    report("p", status(100, Role::Primary), Time { 20ms });
    report("q", status(100), Time { 20ms });
    report("r", status(90), Time { 20ms });
    report("p", status(102), Time { 30ms });
    run.update(Time { 500ms });
    EXPECT_EQ(m_recorded, "p");
    run.candidateRecorded(true, Time { 510ms });
    m_steppedDown.clear();
    run.promotionAnswered(PromotionRequestResult::Accepted, Time { 520ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Finished);
    EXPECT_TRUE(m_steppedDown.empty());
}

// Guards against a service without a primary, and against the loss of commits, after a planned change that
// ended between the step-down of the primary and the promotion.
TEST_F(PromotionTest, ChoosesLongestLogIfLeavingPrimaryHasSteppedDownBefore)
{
    makeSynchronous();
    Promotion& run = promotion(PromotionReason::Leaving);
    run.leaseAcquired(1, Time { 10ms });
    report("p", status(102), Time { 20ms });
    report("q", status(100), Time { 20ms });
    report("r", status(101), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "p" });
}

// Guards against reads that lacked acknowledged commits (review/6): a replaced primary that had come back was
// promoted again, with the entries that the promotion of its successor `p` had rolled back.
TEST_F(PromotionTest, PromotesNoUpstreamWithRolledBackEntries)
{
    const TermHistory recorded({ { 4, "p", { 3, 46 } } });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms }, recorded);
    report("q", status(63), Time { 20ms });
    report("r", status(46), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
    EXPECT_EQ(m_surveyResult.diverged, std::vector<std::string> { "q" });
    // `q` has still to be told from the others at the next promotion.
    const TermHistory expected({ { 4, "p", { 3, 46 } }, { 5, "r", { 3, 46 } } });
    EXPECT_EQ(run.promotions(), expected);
}

// Guards against the same at a service with synchronous replicas, whose replaced primary had not written yet.
TEST_F(PromotionTest, PromotesNoSynchronousReplicaWithRolledBackEntries)
{
    makeSynchronous();
    m_knownPositions["p"] = { 3, 46 };
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms }, TermHistory({ { 4, "p", { 3, 46 } } }));
    report("q", status(63), Time { 20ms });
    report("r", status(46), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against reads that lacked acknowledged commits (review/12): a promotion was requested, and the store
// failed before it was recorded, so that the next one brought back what it had rolled back.
TEST_F(PromotionTest, RequestsNoPromotionBeforeItIsRecorded)
{
    m_isStoreReachable = false;
    const TermHistory recorded({ { 3, "p", { 2, 30 } } });
    for (const bool isRecorded : { false, true }) {
        Promotion& run = promotion(PromotionReason::Unreachable);
        run.leaseAcquired(1, Time { 10ms }, recorded);
        report("q", status(63), Time { 20ms });
        report("r", status(46), Time { 20ms });
        EXPECT_EQ(run.promotions(), TermHistory({ { 3, "p", { 2, 30 } }, { 4, "q", { 3, 63 } } }));
        EXPECT_TRUE(m_promotionRequests.empty());
        run.candidateRecorded(isRecorded, Time { 30ms });
        EXPECT_EQ(m_promotionRequests.size(), isRecorded ? 1U : 0U);
        if (!isRecorded) {
            EXPECT_EQ(run.phase(), PromotionPhase::Failed);
            EXPECT_EQ(run.promotions(), recorded);
        }
    }
}

// Guards against the same by a promotion that no host has seen take place: its upstream became unreachable
// before any entry showed it as the primary.
TEST_F(PromotionTest, RemembersPromotionThatMayHaveTakenPlace)
{
    const TermHistory recorded({ { 3, "p", { 2, 30 } }, { 4, "x", { 3, 46 } } });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms }, recorded);
    report("q", status(63), Time { 20ms });
    report("r", status(46), Time { 20ms });
    ASSERT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
    TermHistory expected({ { 3, "p", { 2, 30 } }, { 4, "x", { 3, 46 } }, { 5, "r", { 3, 46 } } });
    EXPECT_EQ(run.promotions(), expected);
    // The term of the new primary shows that the promotion of `x` had not taken place.
    run.promotionAnswered(PromotionRequestResult::Accepted, Time { 40ms });
    setUpstream("r", Role::Primary);
    m_statusRequests.clear();
    run.update(Time { 400ms });
    EXPECT_EQ(m_statusRequests, std::vector<std::string> { "r" });
    EXPECT_FALSE(run.isOver());
    report("r", UpstreamStatus { Role::Primary, 4, { 4, 47 } }, Time { 410ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Finished);
    EXPECT_EQ(run.promotions(), TermHistory({ { 3, "p", { 2, 30 } }, { 4, "r", { 3, 46 } } }));
}

// Guards against a replica that counts as diverged because of a promotion that has not taken place: its
// upstream responds and has not led.
TEST_F(PromotionTest, IgnoresRecordedPromotionThatHasNotTakenPlace)
{
    const TermHistory recorded({ { 3, "p", { 2, 30 } }, { 4, "r", { 3, 46 } } });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms }, recorded);
    report("q", status(63), Time { 20ms });
    report("r", status(46), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "q" });
    const TermHistory expected({ { 3, "p", { 2, 30 } }, { 4, "q", { 3, 63 } } });
    EXPECT_EQ(run.promotions(), expected);
}

// Guards against a planned change that is put off because of such a promotion, while the primary still leads.
TEST_F(PromotionTest, PrimaryOfEarlierTermRefutesRecordedPromotion)
{
    Promotion& run = promotion(PromotionReason::Leaving);
    run.leaseAcquired(1, Time { 10ms }, TermHistory({ { 4, "x", { 3, 46 } } }));
    report("p", status(63, Role::Primary), Time { 20ms });
    report("q", status(63), Time { 20ms });
    report("r", status(60), Time { 20ms });
    EXPECT_EQ(m_steppedDown, "p");
    EXPECT_EQ(m_stepDownTerm, 4U);
}

// Guards against an upstream that has led, but knows nothing of it because it restarted without its log.
TEST_F(PromotionTest, RemembersPromotionOfUpstreamThatLostItsLog)
{
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms }, TermHistory({ { 4, "r", { 3, 46 } } }));
    report("q", status(63), Time { 20ms });
    report("r", UpstreamStatus {}, Time { 20ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(m_surveyResult.diverged, std::vector<std::string> { "q" });
}

// Guards against a record of a promotion that certainly has not taken place, and against the loss of one that
// may have: only the first request is known to have had no effect.
TEST_F(PromotionTest, RecordsOutcomeOfRefusedRequests)
{
    const TermHistory recorded({ { 3, "p", { 2, 30 } } });
    for (const auto first : { PromotionRequestResult::Unavailable, PromotionRequestResult::Unknown }) {
        Promotion& run = promotion(PromotionReason::Unreachable);
        run.leaseAcquired(1, Time { 10ms }, recorded);
        report("q", status(63), Time { 20ms });
        report("r", status(46), Time { 20ms });
        run.promotionAnswered(first, Time { 30ms });
        run.update(Time { 200ms });
        run.promotionAnswered(PromotionRequestResult::Refused, Time { 210ms });
        EXPECT_EQ(run.phase(), PromotionPhase::Failed);
        EXPECT_EQ(run.promotions() == recorded, first == PromotionRequestResult::Unavailable);
    }
}

// Guards against the opposite: the primary that was promoted is unknown to this host, but its term is not.
TEST_F(PromotionTest, RecordedPromotionCountsIfItsTermIsKnown)
{
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms }, TermHistory({ { 4, "x", { 3, 46 } } }));
    report("q", status(63), Time { 20ms });
    report("r", UpstreamStatus { Role::Replica, 4, { 3, 46 } }, Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against the loss of a whole log: of an upstream without one and one whose end was rolled back,
// neither is promoted while the primary may come back, and the latter after that.
TEST_F(PromotionTest, PromotesDivergedLogOnlyAsLastResort)
{
    const TermHistory recorded({ { 4, "p", { 3, 46 } } });
    for (const bool isLastResort : { false, true }) {
        m_mayPromoteDiverged = isLastResort;
        Promotion& run = promotion(PromotionReason::Unreachable);
        run.leaseAcquired(1, Time { 10ms }, recorded);
        report("q", status(63), Time { 20ms });
        report("r", UpstreamStatus { Role::Replica, 3, {} }, Time { 20ms });
        EXPECT_EQ(m_promotionRequests.size(), isLastResort ? 1U : 0U);
    }
    EXPECT_EQ(m_promotionRequests.back(), "q");
}

// Guards against a planned change to an upstream whose end was rolled back, and against a primary that steps
// down although there is no other one to take over.
TEST_F(PromotionTest, LeavingPrimaryKeepsRoleIfAllOtherLogsHaveDiverged)
{
    const TermHistory recorded({ { 4, "p", { 3, 46 } } });
    Promotion& run = promotion(PromotionReason::Leaving);
    run.leaseAcquired(1, Time { 10ms }, recorded);
    report("p", UpstreamStatus { Role::Primary, 4, { 4, 50 } }, Time { 20ms });
    report("q", status(63), Time { 20ms });
    report("r", status(60), Time { 20ms });
    EXPECT_TRUE(m_steppedDown.empty());
    EXPECT_TRUE(m_promotionRequests.empty());
    // One that has stepped down before gets its role back.
    Promotion& next = promotion(PromotionReason::Leaving);
    next.leaseAcquired(2, Time { 10ms }, recorded);
    report("p", UpstreamStatus { Role::Replica, 4, { 4, 50 } }, Time { 20ms });
    report("q", status(63), Time { 20ms });
    report("r", status(60), Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "p" });
}

// Guards against replicas that count as diverged although they follow the primary: the promotion of a replica
// had taken place, but was requested once more, which begins no term.
TEST_F(PromotionTest, RecordsNoPromotionOfPresentPrimary)
{
    const TermHistory recorded({ { 4, "q", { 3, 46 } } });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms }, recorded);
    report("q", UpstreamStatus { Role::Primary, 4, { 4, 50 } }, Time { 20ms });
    report("r", UpstreamStatus { Role::Replica, 4, { 4, 50 } }, Time { 20ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "q" });
    EXPECT_EQ(run.promotions(), recorded);
}

using Pauses = std::vector<std::pair<std::string, std::uint64_t>>;

// Guards against the loss of acknowledged commits (review/11): while a promotion is under way, hosts that
// still reach the previous primary commit on it, and a replica that is not promoted receives the commit.
TEST_F(PromotionTest, ComparesLogsOfPausedReplicas)
{
    makeSynchronous();
    m_answersPauses = false;
    Promotion& run = surveyedPromotion();
    EXPECT_EQ(m_pauses, (Pauses { { "q", 4 }, { "r", 4 } }));
    run.pauseAnswered("q", 4, status(100), Time { 25ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    // A response from before the pause.
    report("r", status(100), Time { 26ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    run.pauseAnswered("r", 4, status(101), Time { 30ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against a pause that has no effect because the replicas know a later term.
TEST_F(PromotionTest, PausesReplicasAboveNewestTerm)
{
    makeSynchronous();
    m_answersPauses = false;
    Promotion& run = surveyedPromotion();
    run.pauseAnswered("q", 4, status(100), Time { 25ms });
    m_pauses.clear();
    run.pauseAnswered("r", 4, UpstreamStatus { Role::Replica, 6, { 6, 102 } }, Time { 30ms });
    EXPECT_EQ(m_pauses, (Pauses { { "q", 7 }, { "r", 7 } }));
    run.pauseAnswered("q", 4, status(100), Time { 35ms });
    run.pauseAnswered("q", 7, status(100), Time { 36ms });
    EXPECT_TRUE(m_promotionRequests.empty());
    run.pauseAnswered("r", 7, UpstreamStatus { Role::Replica, 6, { 6, 103 } }, Time { 40ms });
    EXPECT_EQ(m_promotionRequests, std::vector<std::string> { "r" });
}

// Guards against a primary without replicas that receive, after a promotion that was given up.
TEST_F(PromotionTest, ResumesReplicasIfOneDoesNotPause)
{
    makeSynchronous();
    m_answersPauses = false;
    Promotion& run = surveyedPromotion();
    run.pauseAnswered("q", 4, status(100), Time { 25ms });
    run.pauseAnswered("r", 4, std::nullopt, Time { 30ms });
    run.update(Time { 200ms });
    EXPECT_EQ(m_pauses, (Pauses { { "q", 4 }, { "r", 4 }, { "r", 4 } }));
    run.update(Time { 500ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(m_resumed, (std::vector<std::string> { "q", "r" }));
}

// Guards against the loss of commits that are acknowledged after a promotion was given up, and which it does
// not have if it is carried out late; and against a host that undoes the pause of the next holder.
TEST_F(PromotionTest, ResumesNoReplicasWhilePromotionMayTakePlace)
{
    makeSynchronous();
    for (const auto result : { PromotionRequestResult::Unknown, PromotionRequestResult::Refused }) {
        Promotion& run = surveyedPromotion();
        run.promotionAnswered(result, Time { 3010ms });
        run.update(Time { 3200ms });
        EXPECT_EQ(run.phase(), PromotionPhase::Failed);
        EXPECT_TRUE(m_resumed.empty());
    }
}

// Guards against a planned change whose replicas do not receive the rest of the log, and against pauses at
// services that lose acknowledged commits by them.
TEST_F(PromotionTest, PausesOnlyReplicasOfUnreachableSynchronousPrimary)
{
    promotion(PromotionReason::Unreachable).leaseAcquired(1, Time { 10ms });
    report("q", status(100), Time { 20ms });
    report("r", status(100), Time { 20ms });
    EXPECT_TRUE(m_pauses.empty());
    makeSynchronous();
    promotion(PromotionReason::Leaving).leaseAcquired(1, Time { 10ms });
    report("p", status(102, Role::Primary), Time { 20ms });
    report("q", status(100), Time { 20ms });
    report("r", status(100), Time { 20ms });
    EXPECT_EQ(m_steppedDown, "p");
    EXPECT_TRUE(m_pauses.empty());
}

// Guards against a commit that only a replica without a pause receives, because it appeared after the survey.
TEST_F(PromotionTest, PromotesNoneIfReplicaAppearsDuringPause)
{
    makeSynchronous();
    m_answersPauses = false;
    Promotion& run = surveyedPromotion();
    setUpstream("s", Role::Replica);
    run.pauseAnswered("q", 4, status(100), Time { 25ms });
    run.pauseAnswered("r", 4, status(100), Time { 25ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
    EXPECT_TRUE(m_promotionRequests.empty());
}

// Guards against a promotion that is carried out long after it was given up (review/11, report): the primary
// had kept its role and acknowledged further commits.
TEST_F(PromotionTest, TakesBackPromotionThatMayStillTakePlace)
{
    const TermHistory recorded({ { 4, "q", { 3, 46 } } });
    Promotion& run = promotion(PromotionReason::Unfinished);
    run.leaseAcquired(9, Time { 10ms }, recorded);
    report("p", status(63, Role::Primary), Time { 20ms });
    report("q", status(46), Time { 20ms });
    report("r", status(60), Time { 20ms });
    ASSERT_EQ(m_promotionRequests, std::vector<std::string> { "p" });
    EXPECT_EQ(m_token, 9U);
    // Until the promoter has seen the new token, the promotion of `q` may still take place.
    EXPECT_EQ(run.promotions(), recorded);
    run.promotionAnswered(PromotionRequestResult::Accepted, Time { 30ms });
    run.update(Time { 150ms });
    report("p", status(64, Role::Primary), Time { 160ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Finished);
    EXPECT_EQ(run.promotions(), TermHistory());
}

// Guards against the same promotion being forgotten if it was carried out just before it was taken back.
TEST_F(PromotionTest, RecordsPromotionThatCouldNotBeTakenBack)
{
    const TermHistory recorded({ { 4, "q", { 3, 46 } } });
    Promotion& run = promotion(PromotionReason::Unfinished);
    run.leaseAcquired(9, Time { 10ms }, recorded);
    report("p", status(63, Role::Primary), Time { 20ms });
    report("q", status(46), Time { 20ms });
    report("r", status(60), Time { 20ms });
    run.promotionAnswered(PromotionRequestResult::Accepted, Time { 30ms });
    run.update(Time { 150ms });
    report("p", UpstreamStatus { Role::Primary, 5, { 5, 64 } }, Time { 160ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Finished);
    EXPECT_EQ(run.promotions(), TermHistory({ { 4, "q", { 3, 46 } }, { 5, "p", { 3, 63 } } }));
}

// Guards against replicas that receive nothing for good because a host ended during a promotion.
TEST_F(PromotionTest, ResumesReplicasOfPrimaryThatKeepsItsRole)
{
    makeSynchronous();
    Promotion& run = promotion(PromotionReason::Unfinished);
    run.leaseAcquired(9, Time { 10ms });
    report("p", status(63, Role::Primary), Time { 20ms });
    report("q", status(46), Time { 20ms });
    report("r", status(60), Time { 20ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Finished);
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_EQ(m_resumed, (std::vector<std::string> { "q", "r" }));
}

// Guards against replicas that receive again although the promotion was carried out.
TEST_F(PromotionTest, ResumesNoReplicasIfPrimaryHasLostItsRole)
{
    makeSynchronous();
    Promotion& run = promotion(PromotionReason::Unfinished);
    run.leaseAcquired(9, Time { 10ms }, TermHistory({ { 4, "q", { 3, 46 } } }));
    report("p", status(63), Time { 20ms });
    report("q", status(46), Time { 20ms });
    report("r", status(46), Time { 20ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
    EXPECT_TRUE(m_promotionRequests.empty());
    EXPECT_TRUE(m_resumed.empty());
}

// Guards against a host that forgets which of its promotions it has to finish.
TEST_F(PromotionTest, IsUnfinishedOnlyWhileItMayTakePlace)
{
    for (const auto result : { PromotionRequestResult::Refused, PromotionRequestResult::Unknown }) {
        Promotion& run = surveyedPromotion();
        run.promotionAnswered(result, Time { 30ms });
        run.update(Time { 3200ms });
        EXPECT_EQ(run.phase(), PromotionPhase::Failed);
        EXPECT_EQ(run.isUnfinished(), result == PromotionRequestResult::Unknown);
    }
}

// Guards against the loss of commits that are acknowledged after a later promotion was given up, because it
// resumed the replicas although an earlier one may still be carried out.
TEST_F(PromotionTest, ResumesNoReplicasWhileEarlierPromotionMayTakePlace)
{
    makeSynchronous();
    m_answersPauses = false;
    const TermHistory recorded({ { 4, "q", { 3, 100 } } });
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms }, recorded);
    report("q", status(100), Time { 20ms });
    report("r", status(100), Time { 20ms });
    run.pauseAnswered("q", 4, status(100), Time { 25ms });
    run.update(Time { 500ms });
    EXPECT_EQ(run.phase(), PromotionPhase::Failed);
    EXPECT_TRUE(m_resumed.empty());
    EXPECT_TRUE(run.isUnfinished());

    Promotion& next = promotion(PromotionReason::Unfinished);
    next.leaseAcquired(2, Time { 10ms }, recorded);
    report("p", status(100, Role::Primary), Time { 20ms });
    report("q", status(100), Time { 20ms });
    report("r", status(100), Time { 20ms });
    ASSERT_EQ(m_promotionRequests, std::vector<std::string> { "p" });
    next.promotionAnswered(PromotionRequestResult::Refused, Time { 30ms });
    EXPECT_EQ(next.phase(), PromotionPhase::Failed);
    EXPECT_TRUE(m_resumed.empty());
}

// Guards against the loss of acknowledged commits (review/13): a replica that had received them restarted
// without its log, and counted as one that has answered.
TEST_F(PromotionTest, WaitsForCommitsOfReplicaThatLostItsLog)
{
    makeSynchronous();
    for (const bool mayHaveLostLog : { true, false }) {
        m_mayHaveLostLog = mayHaveLostLog;
        Promotion& run = promotion(PromotionReason::Unreachable);
        run.leaseAcquired(1, Time { 10ms });
        report("q", status(40), Time { 20ms });
        report("r", UpstreamStatus {}, Time { 20ms });
        run.update(Time { 1500ms });
        EXPECT_EQ(m_promotionRequests.size(), mayHaveLostLog ? 0U : 1U);
    }
}

// Guards against a new service without a primary, since the logs of all its replicas are empty.
TEST_F(PromotionTest, PromotesEmptyReplicaOfServiceWithoutCommits)
{
    makeSynchronous();
    Promotion& run = promotion(PromotionReason::Unreachable);
    run.leaseAcquired(1, Time { 10ms });
    report("q", UpstreamStatus {}, Time { 20ms });
    report("r", UpstreamStatus {}, Time { 20ms });
    EXPECT_EQ(m_promotionRequests.size(), 1U);
}
