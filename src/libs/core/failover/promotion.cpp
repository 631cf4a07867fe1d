#include "core/failover/promotion.h"

#include <algorithm>

namespace Failover {

namespace {

    constexpr Model::Duration leaseTimeout = std::chrono::seconds(4);
    /// Less than the duration of the lease, which begins when the store has written it.
    constexpr Model::Duration leaseUse = std::chrono::milliseconds(3000);
    constexpr Model::Duration stepDownTimeout = std::chrono::milliseconds(400);
    /// Replicas receive the log within a network delay; what is missing after this time does not arrive.
    constexpr Model::Duration catchUpTimeout = std::chrono::milliseconds(400);
    constexpr Model::Duration catchUpPollPeriod = std::chrono::milliseconds(20);
    constexpr Model::Duration requestTimeout = std::chrono::seconds(3);
    constexpr Model::Duration retryDelay = std::chrono::milliseconds(150);
    /// Expected time from the acquisition of the lease to the promotion request.
    constexpr Model::Duration preparationDuration = std::chrono::milliseconds(150);
    constexpr Model::Duration termPollPeriod = std::chrono::milliseconds(80);
    /// Longer than an upstream needs to become the primary.
    constexpr Model::Duration promotionTimeout = std::chrono::seconds(3);

}

std::string_view promotionPhaseName(PromotionPhase phase)
{
    switch (phase) {
    case PromotionPhase::TakingDuty:
        return "taking_duty";
    case PromotionPhase::Fencing:
        return "fencing";
    case PromotionPhase::Recording:
        return "recording";
    case PromotionPhase::Surveying:
        return "surveying";
    case PromotionPhase::Pausing:
        return "pausing";
    case PromotionPhase::SteppingDown:
        return "stepping_down";
    case PromotionPhase::CatchingUp:
        return "catching_up";
    case PromotionPhase::Requesting:
        return "ordering";
    case PromotionPhase::Awaiting:
        return "awaiting";
    case PromotionPhase::Finished:
        return "finished";
    case PromotionPhase::Failed:
        return "failed";
    }
    return "";
}

Promotion::Promotion(const Directory::View& view, std::string service, PromotionReason reason,
    std::string previousPrimary, PromotionHooks hooks, Model::Time now)
    : m_view(view)
    , m_service(std::move(service))
    , m_reason(reason)
    , m_hooks(std::move(hooks))
    , m_startedAt(now)
    , m_phaseAt(now)
    , m_previousPrimary(std::move(previousPrimary))
{
    // A primary that leaves is asked to step down, which ends its use without a fence.
    acquireLease(asksPreviousPrimary() ? Fence::None : Fence::Set, now);
}

void Promotion::acquireLease(Fence fence, Model::Time now)
{
    enter(PromotionPhase::TakingDuty, now);
    m_leaseRequestedAt = now;
    m_fence = fence;
    m_hooks.acquireLease(m_service, fence);
}

/// Whether the previous primary is asked for its status, because it keeps its role until then.
bool Promotion::asksPreviousPrimary() const
{
    return m_reason == PromotionReason::Leaving || m_reason == PromotionReason::Unfinished;
}

Model::Time Promotion::leaseEnd() const { return m_leaseRequestedAt + leaseUse; }

void Promotion::enter(PromotionPhase phase, Model::Time now)
{
    m_phase = phase;
    m_phaseAt = now;
}

void Promotion::finish(Model::Time now)
{
    // Those that an earlier promotion may have paused.
    if (m_reason == PromotionReason::Unfinished && synchronousReplicas() > 0) {
        for (const auto& [upstream, status] : m_statuses) {
            if (upstream != m_previousPrimary)
                m_paused.insert(upstream);
        }
        resumeReplicas(now);
    }
    enter(PromotionPhase::Finished, now);
}

bool Promotion::isUnfinished() const
{
    const bool mayTakePlace = m_hasOutstandingRequest || m_hasUnknownRequest || m_acceptedAt;
    return m_phase == PromotionPhase::Failed && (mayTakePlace || !m_paused.empty());
}

/// Whether the newest recorded promotion may still be carried out.
bool Promotion::mayEarlierTakePlace() const { return !m_recorded.starts().empty() && !isNewestKnown(); }

/// Ends the promotion. Its record is withdrawn if no request may have been carried out.
void Promotion::fail(Model::Time now)
{
    if (!m_hasOutstandingRequest && !m_hasUnknownRequest) {
        m_promotions = m_recorded;
        if (!mayEarlierTakePlace())
            resumeReplicas(now);
    }
    enter(PromotionPhase::Failed, now);
}

void Promotion::leaseAcquired(std::optional<FencingToken> token, Model::Time now, const TermHistory& recorded)
{
    if (m_phase != PromotionPhase::TakingDuty)
        return;
    if (!token)
        return enter(PromotionPhase::Failed, now);
    m_token = *token;
    m_recorded = recorded;
    m_promotions = recorded;
    // Another upstream may have become the primary while the store handled the lease.
    if (hasNewPrimary())
        return enter(PromotionPhase::Finished, now);
    if (!m_hooks.isFenceEffective || m_fence == Fence::None)
        return survey(now);
    enter(PromotionPhase::Fencing, now);
    update(now);
}

/// Whether another upstream is the primary already.
bool Promotion::hasNewPrimary() const
{
    const Directory::Upstream* primary = m_view.primaryOf(m_service);
    return primary && primary->id != m_previousPrimary && m_view.acceptsWork(*primary);
}

void Promotion::statusArrived(
    const std::string& upstream, const std::optional<UpstreamStatus>& status, Model::Time now)
{
    // What a replica reported before it was paused no longer holds.
    if (m_phase == PromotionPhase::Pausing)
        return;
    m_outstanding.erase(upstream);
    if (status)
        m_statuses[upstream] = status;
    if (m_phase == PromotionPhase::Surveying)
        return continueSurvey(now);
    if (m_phase == PromotionPhase::SteppingDown && upstream == m_previousPrimary) {
        const bool isStillPrimary = !status || status->role == Directory::Role::Primary;
        if (isStillPrimary && m_hooks.isFenceEffective)
            return stepDownFailed(now);
        if (status)
            m_target = status->received;
        enter(PromotionPhase::CatchingUp, now);
    }
    if (m_phase == PromotionPhase::Awaiting && status && upstream == m_candidate)
        adoptTermOfCandidate(*status);
    if (m_phase == PromotionPhase::CatchingUp || m_phase == PromotionPhase::Awaiting)
        update(now);
}

/// The newest term that an upstream is known to have reached.
std::uint64_t Promotion::knownTerm() const
{
    std::uint64_t term = m_hooks.knownPosition(m_previousPrimary).term;
    for (const auto& [upstream, status] : m_statuses) {
        if (status)
            term = std::max({ term, status->term, status->received.term });
    }
    return term;
}

/// The term of the next primary, as far as the upstreams and the recorded promotions show it.
std::uint64_t Promotion::nextTerm() const { return std::max(knownTerm(), m_promotions.newestTerm()) + 1; }

/// Whether the newest recorded promotion has certainly taken place.
bool Promotion::isNewestKnown() const
{
    const TermStart& newest = m_recorded.starts().back();
    return m_previousPrimary == newest.primary || knownTerm() >= newest.term;
}

/// Whether the newest recorded promotion, which was recorded before it was requested, has certainly not taken
/// place: its upstream has not led, or another one of an earlier term still does.
bool Promotion::isNewestRefuted() const
{
    const TermStart& newest = m_recorded.starts().back();
    return std::ranges::any_of(m_statuses, [&](const auto& entry) {
        const std::optional<UpstreamStatus>& status = entry.second;
        if (!status || status->term >= newest.term)
            return false;
        // One that has restarted without its log knows nothing of the promotion.
        const bool isUnpromoted = entry.first == newest.primary && status->received >= newest.end;
        const bool isOldPrimary = status->role == Directory::Role::Primary && !m_hooks.isFenceEffective;
        return isUnpromoted || isOldPrimary;
    });
}

/// Determines which of the recorded promotions may have taken place, by the survey.
void Promotion::updateHistory()
{
    m_promotions = m_recorded;
    m_isTermUncertain = false;
    if (m_recorded.starts().empty() || isNewestKnown())
        return;
    if (isNewestRefuted())
        m_promotions.removeNewest();
    else
        m_isTermUncertain = true;
}

/// On a platform that does not take the role from the previous primary, it continues as one until it is asked
/// to step down or reaches the new primary.
void Promotion::stepDownPreviousPrimary()
{
    const bool isReplaced = m_candidate != m_previousPrimary && m_view.findUpstream(m_previousPrimary);
    if (m_hooks.isFenceEffective && isReplaced)
        m_hooks.stepDown(m_previousPrimary, m_term);
}

/// Requests the promotion of the candidate, or fails if there is none.
void Promotion::promote(const std::string& candidate, Model::Time now)
{
    m_candidate = candidate;
    m_hooks.surveyed({ m_statuses, divergedUpstreams(), m_candidate });
    if (m_candidate.empty() || now > leaseEnd())
        return fail(now);
    addCandidate();
    enter(PromotionPhase::Recording, now);
    m_hooks.recordCandidate(m_service, m_candidate);
}

/// Adds the promotion of the candidate to those that may have taken place.
void Promotion::addCandidate()
{
    const auto status = m_statuses.find(m_candidate);
    m_confirmsPrimary
        = status != m_statuses.end() && status->second && status->second->role == Directory::Role::Primary;
    m_term = m_confirmsPrimary ? status->second->term : nextTerm();
    m_candidateEnd = lastPosition(m_candidate);
    // Without a position, nothing can be said of the logs of the others.
    if (!m_confirmsPrimary && m_candidateEnd != Model::LogPosition {})
        m_promotions.add({ m_term, m_candidate, m_candidateEnd });
}

void Promotion::candidateRecorded(bool isRecorded, Model::Time now)
{
    if (m_phase != PromotionPhase::Recording)
        return;
    if (!isRecorded)
        return fail(now);
    enter(PromotionPhase::Requesting, now);
    requestPromotion(now);
}

/// Another host may hold the lease once it has ended. It is acquired again then, by a new promotion.
void Promotion::requestPromotion(Model::Time now)
{
    if (now > leaseEnd())
        return fail(now);
    m_hasOutstandingRequest = true;
    m_hooks.requestPromotion(m_service, m_candidate, m_token);
}

void Promotion::promotionAnswered(PromotionRequestResult result, Model::Time now)
{
    if (m_phase != PromotionPhase::Requesting)
        return;
    m_hasOutstandingRequest = false;
    switch (result) {
    case PromotionRequestResult::Accepted:
        m_acceptedAt = now;
        enter(PromotionPhase::Awaiting, now);
        break;
    case PromotionRequestResult::Refused:
        // Either the upstream does not run, or a newer holder of the lease acts; a new attempt acquires the
        // lease again.
        fail(now);
        break;
    case PromotionRequestResult::Unknown:
        m_hasUnknownRequest = true;
        m_retryAt = now + retryDelay;
        break;
    case PromotionRequestResult::Unavailable:
        m_retryAt = now + retryDelay;
        break;
    }
    update(now);
}

void Promotion::continueAwaiting(Model::Time now)
{
    const Directory::Upstream* primary = m_view.primaryOf(m_service);
    const bool isPrimary = primary && primary->id == m_candidate;
    const bool isTimeOver = now - m_phaseAt > promotionTimeout;
    if (isPrimary && (!m_isTermUncertain || isTimeOver)) {
        stepDownPreviousPrimary();
        return finish(now);
    }
    if (isTimeOver)
        return enter(PromotionPhase::Failed, now);
    if (isPrimary && now - m_statusRequestedAt >= termPollPeriod) {
        m_statusRequestedAt = now;
        requestStatus(m_candidate);
    }
}

/// Corrects the recorded term. With one that is too high, the logs of all that follow the new primary would
/// count as diverged at the next promotion.
void Promotion::adoptTermOfCandidate(const UpstreamStatus& status)
{
    if (!m_isTermUncertain || status.role != Directory::Role::Primary)
        return;
    m_isTermUncertain = false;
    if (status.term == m_term || m_candidateEnd == Model::LogPosition {})
        return;
    // A primary that was to be confirmed has lost its role meanwhile, and got it back.
    if (m_confirmsPrimary)
        m_promotions = m_recorded;
    m_promotions.add({ status.term, m_candidate, m_candidateEnd });
}

Model::Time Promotion::expectedEnd(Model::Duration promotionDuration, Model::Time now) const
{
    return m_acceptedAt ? *m_acceptedAt + promotionDuration : now + preparationDuration + promotionDuration;
}

/// The previous primary may still run requests. Where a promotion does not prevent that, it is fenced first.
void Promotion::stepDownFailed(Model::Time now)
{
    const bool isStepDownUnanswered = m_phase == PromotionPhase::SteppingDown;
    if (!m_hooks.isFenceEffective && !(isStepDownUnanswered && synchronousReplicas() > 0))
        return promote(bestReplica(), now);
    m_reason = PromotionReason::Unreachable;
    // The replicas may have acknowledged commits since they reported their logs.
    if (!m_hooks.isFenceEffective)
        return survey(now);
    acquireLease(Fence::Set, now);
}

void Promotion::update(Model::Time now)
{
    const Model::Duration elapsed = now - m_phaseAt;
    switch (m_phase) {
    case PromotionPhase::TakingDuty:
        if (elapsed > leaseTimeout)
            enter(PromotionPhase::Failed, now);
        break;
    case PromotionPhase::Fencing:
        if (m_hooks.isFenceEffective(m_service, now))
            survey(now);
        else if (now > leaseEnd())
            enter(PromotionPhase::Failed, now);
        break;
    case PromotionPhase::Surveying:
        continueSurvey(now);
        break;
    case PromotionPhase::Pausing:
        continuePausing(now);
        break;
    case PromotionPhase::SteppingDown:
        if (elapsed > stepDownTimeout)
            stepDownFailed(now);
        break;
    case PromotionPhase::CatchingUp: {
        const std::string best = bestReplica();
        const auto status = m_statuses.find(best);
        const bool hasAll
            = status != m_statuses.end() && status->second && status->second->received >= m_target;
        const bool isGivenUp = best.empty() || elapsed > catchUpTimeout;
        // The previous primary has all commits.
        if (!hasAll && isGivenUp && synchronousReplicas() > 0)
            return promote(m_previousPrimary, now);
        if (hasAll || isGivenUp)
            return promote(best, now);
        if (now - m_statusRequestedAt >= catchUpPollPeriod) {
            m_statusRequestedAt = now;
            requestStatus(best);
        }
        break;
    }
    case PromotionPhase::Recording:
        if (elapsed > leaseTimeout)
            fail(now);
        break;
    case PromotionPhase::Requesting:
        if (elapsed > requestTimeout)
            return fail(now);
        // Promotion requests are idempotent.
        if (m_retryAt && now >= *m_retryAt) {
            m_retryAt.reset();
            requestPromotion(now);
        }
        break;
    case PromotionPhase::Awaiting:
        continueAwaiting(now);
        break;
    case PromotionPhase::Finished:
    case PromotionPhase::Failed:
        break;
    }
}

}
