#include "core/failover/promotion.h"

#include <algorithm>

namespace Failover {

namespace {

    constexpr Model::Duration leaseTimeout = std::chrono::seconds(4);
    /// A replica that has not told its position may hold acknowledged commits that no other one has, so it is
    /// waited for unless it cannot be reached.
    constexpr Model::Duration surveyTimeout = std::chrono::milliseconds(1200);
    constexpr Model::Duration askAgainPeriod = std::chrono::milliseconds(80);
    constexpr Model::Duration stepDownTimeout = std::chrono::milliseconds(400);
    /// Replicas receive within a network delay; what is missing after this does not arrive.
    constexpr Model::Duration catchUpTimeout = std::chrono::milliseconds(400);
    constexpr Model::Duration catchUpPeriod = std::chrono::milliseconds(20);
    constexpr Model::Duration orderTimeout = std::chrono::seconds(3);
    constexpr Model::Duration repeatDelay = std::chrono::milliseconds(150);
    /// From the taking of the duty to the order.
    constexpr Model::Duration preparation = std::chrono::milliseconds(150);
    /// Longer than an upstream needs to take the lead.
    constexpr Model::Duration leadTimeout = std::chrono::seconds(3);

}

std::string_view promotionPhaseName(PromotionPhase phase)
{
    switch (phase) {
    case PromotionPhase::TakingDuty:
        return "taking_duty";
    case PromotionPhase::Surveying:
        return "surveying";
    case PromotionPhase::SteppingDown:
        return "stepping_down";
    case PromotionPhase::CatchingUp:
        return "catching_up";
    case PromotionPhase::Ordering:
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
    PromotionHooks hooks, Model::Time now)
    : m_view(view)
    , m_service(std::move(service))
    , m_reason(reason)
    , m_hooks(std::move(hooks))
    , m_startedAt(now)
    , m_phaseAt(now)
{
    if (const Directory::Upstream* leader = view.primaryOf(m_service))
        m_former = leader->id;
    m_hooks.acquireLease(m_service);
}

void Promotion::enter(PromotionPhase phase, Model::Time now)
{
    m_phase = phase;
    m_phaseAt = now;
}

void Promotion::leaseAcquired(std::optional<FencingToken> token, Model::Time now)
{
    if (m_phase != PromotionPhase::TakingDuty)
        return;
    if (!token)
        return enter(PromotionPhase::Failed, now);
    m_token = *token;
    // The reason may have gone while the store was asked.
    if (hasLeader())
        return enter(PromotionPhase::Finished, now);
    survey(now);
}

/// Whether another upstream leads already.
bool Promotion::hasLeader() const
{
    const Directory::Upstream* leader = m_view.primaryOf(m_service);
    return leader && leader->id != m_former && m_view.acceptsWork(*leader);
}

void Promotion::survey(Model::Time now)
{
    enter(PromotionPhase::Surveying, now);
    m_statuses.clear();
    m_outstanding.clear();
    m_askedAt = now;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(m_service)) {
        if (upstream->id != m_former || m_reason == PromotionReason::Leaving)
            m_statuses[upstream->id];
    }
    if (m_statuses.empty())
        return enter(PromotionPhase::Failed, now);
    for (const auto& [upstream, status] : m_statuses)
        ask(upstream);
}

void Promotion::ask(const std::string& upstream)
{
    if (m_outstanding.insert(upstream).second)
        m_hooks.askStatus(upstream);
}

void Promotion::statusArrived(
    const std::string& upstream, const std::optional<UpstreamStatus>& status, Model::Time now)
{
    m_outstanding.erase(upstream);
    if (status)
        m_statuses[upstream] = status;
    if (m_phase == PromotionPhase::Surveying)
        return continueSurvey(now);
    if (m_phase == PromotionPhase::SteppingDown && upstream == m_former) {
        if (status)
            m_target = status->received;
        enter(PromotionPhase::CatchingUp, now);
    }
    if (m_phase == PromotionPhase::CatchingUp)
        update(now);
}

void Promotion::continueSurvey(Model::Time now)
{
    const bool isComplete = std::ranges::all_of(
        m_statuses, [&](const auto& entry) { return entry.second || !m_hooks.isReachable(entry.first); });
    if (isComplete || now - m_phaseAt > surveyTimeout)
        return surveyed(now);
    if (now - m_askedAt < askAgainPeriod)
        return;
    m_askedAt = now;
    for (const auto& [upstream, status] : m_statuses) {
        if (!status)
            ask(upstream);
    }
}

void Promotion::surveyed(Model::Time now)
{
    const auto leaving = m_statuses.find(m_former);
    const bool canStepDown = m_reason == PromotionReason::Leaving && leaving != m_statuses.end()
        && leaving->second && leaving->second->role == Directory::Role::Primary;
    if (!canStepDown)
        return chooseAndOrder(now);
    std::uint64_t term = 0;
    for (const auto& [upstream, status] : m_statuses) {
        if (status)
            term = std::max(term, status->term);
    }
    enter(PromotionPhase::SteppingDown, now);
    m_outstanding.clear();
    m_hooks.stepDown(m_former, term + 1);
}

std::string Promotion::bestReplica() const
{
    std::string best;
    std::optional<Model::LogPosition> bestPosition;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(m_service)) {
        if (upstream->id == m_former || !m_view.acceptsWork(*upstream))
            continue;
        const auto status = m_statuses.find(upstream->id);
        const bool isKnown = status != m_statuses.end() && status->second;
        const Model::LogPosition position
            = isKnown ? status->second->received : m_hooks.knownPosition(upstream->id);
        if (!bestPosition || position > *bestPosition) {
            best = upstream->id;
            bestPosition = position;
        }
    }
    return best;
}

void Promotion::chooseAndOrder(Model::Time now)
{
    m_candidate = bestReplica();
    if (m_candidate.empty())
        return enter(PromotionPhase::Failed, now);
    enter(PromotionPhase::Ordering, now);
    m_hooks.requestPromotion(m_service, m_candidate, m_token);
}

void Promotion::promotionAnswered(PromotionRequestResult result, Model::Time now)
{
    if (m_phase != PromotionPhase::Ordering)
        return;
    switch (result) {
    case PromotionRequestResult::Accepted:
        m_acceptedAt = now;
        enter(PromotionPhase::Awaiting, now);
        break;
    case PromotionRequestResult::Refused:
        // Either the upstream does not run, or a newer holder acts; a new try takes the duty again.
        enter(PromotionPhase::Failed, now);
        break;
    case PromotionRequestResult::Unavailable:
    case PromotionRequestResult::Unknown:
        m_repeatAt = now + repeatDelay;
        break;
    }
    update(now);
}

Model::Time Promotion::expectedEnd(Model::Duration leadDuration, Model::Time now) const
{
    return m_acceptedAt ? *m_acceptedAt + leadDuration : now + preparation + leadDuration;
}

void Promotion::update(Model::Time now)
{
    const Model::Duration elapsed = now - m_phaseAt;
    switch (m_phase) {
    case PromotionPhase::TakingDuty:
        if (elapsed > leaseTimeout)
            enter(PromotionPhase::Failed, now);
        break;
    case PromotionPhase::Surveying:
        continueSurvey(now);
        break;
    case PromotionPhase::SteppingDown:
        if (elapsed > stepDownTimeout)
            chooseAndOrder(now);
        break;
    case PromotionPhase::CatchingUp: {
        const std::string best = bestReplica();
        const auto status = m_statuses.find(best);
        const bool hasAll
            = status != m_statuses.end() && status->second && status->second->received >= m_target;
        if (hasAll || best.empty() || elapsed > catchUpTimeout)
            return chooseAndOrder(now);
        if (now - m_askedAt >= catchUpPeriod) {
            m_askedAt = now;
            ask(best);
        }
        break;
    }
    case PromotionPhase::Ordering:
        if (elapsed > orderTimeout)
            return enter(PromotionPhase::Failed, now);
        // Carried out twice, an order has the same effect as once.
        if (m_repeatAt && now >= *m_repeatAt) {
            m_repeatAt.reset();
            m_hooks.requestPromotion(m_service, m_candidate, m_token);
        }
        break;
    case PromotionPhase::Awaiting: {
        const Directory::Upstream* leader = m_view.primaryOf(m_service);
        if (leader && leader->id == m_candidate)
            enter(PromotionPhase::Finished, now);
        else if (elapsed > leadTimeout)
            enter(PromotionPhase::Failed, now);
        break;
    }
    case PromotionPhase::Finished:
    case PromotionPhase::Failed:
        break;
    }
}

}
