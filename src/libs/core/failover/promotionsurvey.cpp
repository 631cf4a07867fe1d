#include "core/failover/promotion.h"

#include "core/failover/replicareturntime.h"

#include <algorithm>
#include <utility>

namespace Failover {

namespace {

    /// A replica that has not reported its position may hold acknowledged commits that no other replica has,
    /// so the survey waits for it unless it is unreachable.
    constexpr Model::Duration surveyTimeout = std::chrono::milliseconds(1200);
    constexpr Model::Duration statusRetryPeriod = std::chrono::milliseconds(80);
    /// The replicas have responded just before, so that only one that has failed since does not.
    constexpr Model::Duration pauseTimeout = std::chrono::milliseconds(400);

}

void Promotion::survey(Model::Time now)
{
    enter(PromotionPhase::Surveying, now);
    m_statuses.clear();
    m_outstanding.clear();
    m_statusRequestedAt = now;
    for (const std::string& upstream : surveyedUpstreams())
        m_statuses[upstream];
    if (m_statuses.empty())
        return enter(PromotionPhase::Failed, now);
    for (const auto& [upstream, status] : m_statuses)
        requestStatus(upstream);
}

/// Where commits wait for synchronous replicas, also those whose entry was removed: they may run and have
/// acknowledged commits, but not reach the store.
std::vector<std::string> Promotion::surveyedUpstreams() const
{
    std::vector<std::string> result;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(m_service)) {
        if (upstream->id != m_previousPrimary || asksPreviousPrimary())
            result.push_back(upstream->id);
    }
    if (synchronousReplicas() == 0)
        return result;
    for (const Directory::FormerUpstream* former : m_view.formerUpstreamsOf(m_service)) {
        if (former->upstream.id != m_previousPrimary)
            result.push_back(former->upstream.id);
    }
    return result;
}

void Promotion::requestStatus(const std::string& upstream)
{
    if (m_outstanding.insert(upstream).second)
        m_hooks.requestStatus(upstream);
}

void Promotion::continueSurvey(Model::Time now)
{
    updateSurveyedUpstreams();
    const bool isComplete = std::ranges::all_of(
        m_statuses, [&](const auto& entry) { return entry.second || !m_hooks.isReachable(entry.first); });
    if ((isComplete && isSurveySufficient(now)) || now - m_phaseAt > surveyTimeout)
        return finishSurvey(now);
    if (now - m_statusRequestedAt < statusRetryPeriod)
        return;
    m_statusRequestedAt = now;
    for (const auto& [upstream, status] : m_statuses) {
        if (!status)
            requestStatus(upstream);
    }
}

/// Adopts changes of the directory since the survey began. A synchronous replica may have been replaced by
/// one that has its log.
void Promotion::updateSurveyedUpstreams()
{
    const std::vector<std::string> upstreams = surveyedUpstreams();
    std::erase_if(m_statuses,
        [&](const auto& entry) { return std::ranges::find(upstreams, entry.first) == upstreams.end(); });
    for (const std::string& upstream : upstreams) {
        if (synchronousReplicas() > 0 && m_statuses.try_emplace(upstream).second)
            requestStatus(upstream);
    }
}

/// If the primary keeps its role, requests its promotion, with which the promoter carries out no earlier
/// request any more, and resumes the replicas. Otherwise the directory will show why it does not.
void Promotion::finishEarlierPromotion(Model::Time now)
{
    const auto primary = m_statuses.find(m_previousPrimary);
    const bool isPrimary
        = primary != m_statuses.end() && primary->second && primary->second->role == Directory::Role::Primary;
    if (!isPrimary)
        return promote({}, now);
    if (m_promotions == m_recorded)
        return finish(now);
    m_isTermUncertain = true;
    promote(m_previousPrimary, now);
}

/// Whether the replaced primary may go on acknowledging commits. One that leaves steps down first, and where
/// the hosts need a fence, none of them uses it any more.
bool Promotion::mustPauseReplicas() const
{
    return synchronousReplicas() > 0 && !m_hooks.isFenceEffective && m_reason != PromotionReason::Leaving;
}

void Promotion::pauseReplicas(Model::Time now)
{
    if (bestReplica().empty())
        return promote({}, now);
    enter(PromotionPhase::Pausing, now);
    for (const auto& [upstream, status] : m_statuses) {
        if (status && status->role == Directory::Role::Replica)
            m_paused.insert(upstream);
    }
    requestPauses(now);
}

/// Requests all pauses, or all again if a replica knows a later term than the others did.
void Promotion::requestPauses(Model::Time now)
{
    m_pauseTerm = nextTerm();
    m_statusRequestedAt = now;
    m_outstanding.clear();
    for (const std::string& upstream : m_paused)
        m_statuses[upstream].reset();
    for (const std::string& upstream : std::set(m_paused))
        requestPause(upstream);
}

void Promotion::requestPause(const std::string& upstream)
{
    if (m_outstanding.insert(upstream).second)
        m_hooks.pause(upstream, m_pauseTerm);
}

void Promotion::pauseAnswered(const std::string& upstream, std::uint64_t term,
    const std::optional<UpstreamStatus>& status, Model::Time now)
{
    if (m_phase != PromotionPhase::Pausing || term != m_pauseTerm)
        return;
    m_outstanding.erase(upstream);
    m_statuses[upstream] = status;
    if (status && status->role == Directory::Role::Replica && status->term >= m_pauseTerm)
        return requestPauses(now);
    continuePausing(now);
}

void Promotion::continuePausing(Model::Time now)
{
    // A replica that has appeared meanwhile receives, and counts as one that has not responded.
    for (const std::string& upstream : surveyedUpstreams())
        m_statuses.try_emplace(upstream);
    const auto hasResponded = [&](const std::string& upstream) { return m_statuses[upstream].has_value(); };
    if (std::ranges::all_of(m_paused, hasResponded) || now - m_phaseAt > pauseTimeout)
        return promote(isSurveySufficient(now) ? bestReplica() : std::string(), now);
    if (now - m_statusRequestedAt < statusRetryPeriod)
        return;
    m_statusRequestedAt = now;
    for (const std::string& upstream : std::set(m_paused)) {
        if (!hasResponded(upstream))
            requestPause(upstream);
    }
}

/// Ends the pauses. After the end of the lease, another host may have paused the replicas.
void Promotion::resumeReplicas(Model::Time now)
{
    if (now > leaseEnd())
        return;
    for (const std::string& upstream : std::exchange(m_paused, {}))
        m_hooks.resume(upstream);
}

int Promotion::synchronousReplicas() const
{
    const auto& configuration = m_view.configuration();
    const Directory::Service* settings = configuration ? configuration->findService(m_service) : nullptr;
    return settings ? settings->synchronousReplicas : 0;
}

/// Whether every acknowledged commit must be in the log of a replica that has responded.
bool Promotion::isSurveySufficient(Model::Time now) const
{
    if (synchronousReplicas() == 0)
        return true;
    const auto missing = std::ranges::count_if(m_statuses, [&](const auto& entry) {
        return entry.first != m_previousPrimary && !isEvidence(entry.first, entry.second, now);
    });
    return missing < synchronousReplicas();
}

/// Whether the replica's status, or the lack of one, shows which commits it had received.
bool Promotion::isEvidence(
    const std::string& upstream, const std::optional<UpstreamStatus>& status, Model::Time now) const
{
    if (!status)
        return isGone(upstream, now);
    const bool isEmpty = status->received.position == 0 && hasCommits();
    return !isEmpty || !m_hooks.mayHaveLostLog(upstream, now);
}

/// Whether any log of the service is known to have an entry.
bool Promotion::hasCommits() const
{
    return m_hooks.knownPosition(m_previousPrimary).position > 0
        || std::ranges::any_of(m_statuses,
            [](const auto& entry) { return entry.second && entry.second->received.position > 0; });
}

/// Whether the upstream, which has not responded, has left or is lost with its log.
bool Promotion::isGone(const std::string& upstream, Model::Time now) const
{
    const Directory::FormerUpstream* former = m_view.findFormerUpstream(upstream);
    return former && now - former->removedAt >= replicaReturnTime;
}

void Promotion::finishSurvey(Model::Time now)
{
    updateHistory();
    m_mayPromoteDiverged = m_hooks.mayPromoteDiverged && m_hooks.mayPromoteDiverged(now);
    if (m_reason == PromotionReason::Unfinished)
        return finishEarlierPromotion(now);
    if (!isSurveySufficient(now))
        return promote({}, now);
    if (mustPauseReplicas())
        return pauseReplicas(now);
    const auto previous = m_statuses.find(m_previousPrimary);
    if (m_reason != PromotionReason::Leaving || previous == m_statuses.end())
        return promote(bestReplica(), now);
    if (!previous->second)
        return stepDownFailed(now);
    // Nobody leads if the promotion after an earlier step-down did not take place.
    if (previous->second->role != Directory::Role::Primary) {
        const std::string best
            = synchronousReplicas() > 0 ? longestLog(PreviousPrimary::Included) : bestReplica();
        return promote(best.empty() ? m_previousPrimary : best, now);
    }
    // The primary keeps its role until a replica that accepts work has what the others have acknowledged.
    const Directory::Upstream* next = m_view.findUpstream(bestReplica());
    if (!next || !m_view.acceptsWork(*next))
        return promote({}, now);
    enter(PromotionPhase::SteppingDown, now);
    m_outstanding.clear();
    m_hooks.stepDown(m_previousPrimary, nextTerm());
}

bool Promotion::hasDiverged(const Model::LogPosition& position) const
{
    return !m_mayPromoteDiverged && m_promotions.hasDiverged(position);
}

/// The end of the upstream's log, by its status or else as this host has last seen it.
Model::LogPosition Promotion::lastPosition(const std::string& upstream) const
{
    const auto status = m_statuses.find(upstream);
    const bool isKnown = status != m_statuses.end() && status->second;
    return isKnown ? status->second->received : m_hooks.knownPosition(upstream);
}

std::vector<std::string> Promotion::divergedUpstreams() const
{
    std::vector<std::string> result;
    for (const auto& [upstream, status] : m_statuses) {
        if (upstream != m_previousPrimary && m_promotions.hasDiverged(lastPosition(upstream)))
            result.push_back(upstream);
    }
    return result;
}

/// Whether the replica has received from the previous primary. If it has not, it may lack commits that only
/// the previous primary had received as a replica, before it became the primary.
bool Promotion::hasLogOfPreviousTerm(const UpstreamStatus& status) const
{
    return status.received.term >= m_hooks.knownPosition(m_previousPrimary).term;
}

/// The upstream with the longest log among those that have responded; of equal ones, one that accepts work.
/// An upstream that is draining or no longer registered may alone hold an acknowledged commit. As the
/// primary, it passes it on.
std::string Promotion::longestLog(PreviousPrimary previousPrimary) const
{
    std::string longest;
    std::pair<Model::LogPosition, bool> longestRank;
    for (const auto& [id, status] : m_statuses) {
        const bool isExcluded = id == m_previousPrimary && previousPrimary == PreviousPrimary::Excluded;
        if (isExcluded || !status || !hasLogOfPreviousTerm(*status) || hasDiverged(status->received))
            continue;
        const Directory::Upstream* upstream = m_view.findUpstream(id);
        const std::pair rank(status->received, upstream && m_view.acceptsWork(*upstream));
        if (longest.empty() || rank > longestRank) {
            longest = id;
            longestRank = rank;
        }
    }
    return longest;
}

std::string Promotion::bestReplica() const
{
    if (synchronousReplicas() > 0)
        return longestLog(PreviousPrimary::Excluded);
    std::string best;
    std::optional<Model::LogPosition> bestPosition;
    bool hasSkipped = false;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(m_service)) {
        if (upstream->id == m_previousPrimary || !m_view.acceptsWork(*upstream))
            continue;
        const Model::LogPosition position = lastPosition(upstream->id);
        if (hasDiverged(position)) {
            hasSkipped = true;
        } else if (!bestPosition || position > *bestPosition) {
            best = upstream->id;
            bestPosition = position;
        }
    }
    // An upstream without a log, for example a new one, would lose more than one whose log has diverged.
    const bool isEmpty = bestPosition && bestPosition->position == 0;
    return hasSkipped && isEmpty ? std::string() : best;
}

}
