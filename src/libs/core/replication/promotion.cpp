#include "core/replication/promotion.h"

#include "core/replication/candidate.h"
#include "core/replication/timing.h"

#include <algorithm>

namespace Replication {

Promotion::Promotion(std::uint64_t term, std::span<const MemberView> members, std::string previousPrimary,
    std::string excluded, Model::Time now)
    : m_term(term)
    , m_previousPrimary(std::move(previousPrimary))
    , m_excluded(std::move(excluded))
    , m_phaseStartedAt(now)
{
    for (const MemberView& member : members)
        m_fences.push_back({ .member = member.name() });
}

void Promotion::observe(const std::string& name, const Report& report)
{
    if (m_state != State::Fencing && m_state != State::Promoting)
        return;
    if (report.promisedTerm > m_term) {
        m_state = State::Superseded;
        return;
    }
    if (m_state == State::Fencing) {
        Step& fence = step(name);
        if (report.promisedTerm == m_term && report.lastEntry) {
            fence.call = CallState::Done;
            fence.lastEntry = *report.lastEntry;
        } else if (report.promisedTerm == m_term) {
            fence.call = CallState::Unknown;
        } else if (fence.call == CallState::Unknown) {
            fence.call = CallState::Due;
        }
        return;
    }
    if (name != m_candidate || report.promisedTerm != m_term || !report.role)
        return;
    if (*report.role == Role::Primary)
        m_state = State::Succeeded;
    else if (m_promote.call == CallState::Unknown)
        m_promote.call = CallState::Due;
}

void Promotion::responseLost(const std::string& name)
{
    if (m_state == State::Promoting && name == m_candidate && m_promote.call == CallState::Sent)
        m_promote.call = CallState::Unknown;
    // Repeat the fence at once: if the lost one took effect, the rejection returns this attempt's term.
    if (m_state == State::Fencing && step(name).call == CallState::Sent)
        step(name).call = CallState::Due;
}

void Promotion::advance(std::vector<MemberView>& members, std::vector<Action>& actions, Model::Time now)
{
    if (m_state == State::Fencing)
        advanceFencing(members, actions, now);
    if (m_state == State::Promoting)
        advancePromoting(members, actions, now);
}

void Promotion::advanceFencing(
    std::vector<MemberView>& members, std::vector<Action>& actions, Model::Time now)
{
    if (std::optional<std::string> chosen = choice(members, now)) {
        m_candidate = std::move(*chosen);
        m_promote.member = m_candidate;
        m_phaseStartedAt = now;
        m_state = State::Promoting;
        return;
    }
    if (now - m_phaseStartedAt >= fencingLimit) {
        m_state = State::TimedOut;
        return;
    }
    for (MemberView& member : members) {
        Step& fence = step(member.name());
        expire(fence, member, now);
        if (fence.call != CallState::Due)
            continue;
        fence.call = CallState::Sent;
        fence.sentAt = now;
        actions.emplace_back(Fence { member.name(), m_term });
    }
}

std::optional<std::string> Promotion::choice(std::span<const MemberView> members, Model::Time now) const
{
    const auto isPreferred
        = [this](const MemberView& member) { return member.isActive() && member.name() != m_excluded; };
    std::vector<FencedMember> fenced;
    fenced.reserve(members.size());
    bool isComplete = true;
    for (const MemberView& member : members) {
        const auto fence = std::ranges::find(m_fences, member.name(), &Step::member);
        if (fence->call == CallState::Done)
            fenced.push_back(
                { member.name(), fence->lastEntry, isPreferred(member), member.name() == m_previousPrimary });
        else if (!member.isFailed(now))
            isComplete = false;
    }
    std::optional<std::string> chosen = chooseCandidate(fenced, members.size());
    if (!chosen || *chosen == m_excluded)
        return std::nullopt;
    if (isComplete || now - m_phaseStartedAt >= fencingLimit)
        return chosen;
    // Choosing early must not return the role to a primary that should hand it over, only because the
    // response of a replica was lost.
    const bool mayChooseEarly = isPreferred(*std::ranges::find(members, *chosen, &MemberView::name));
    return mayChooseEarly && now - m_phaseStartedAt >= stragglerLimit ? chosen : std::nullopt;
}

void Promotion::advancePromoting(
    std::vector<MemberView>& members, std::vector<Action>& actions, Model::Time now)
{
    if (now - m_phaseStartedAt >= promotingLimit) {
        m_state = State::TimedOut;
        return;
    }
    expire(m_promote, *std::ranges::find(members, m_candidate, &MemberView::name), now);
    if (m_promote.call != CallState::Due)
        return;
    m_promote.call = CallState::Sent;
    m_promote.sentAt = now;
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const MemberView& member : members)
        names.push_back(member.name());
    actions.emplace_back(Promote { m_candidate, m_term, std::move(names) });
}

void Promotion::expire(Step& step, MemberView& view, Model::Time now)
{
    if (step.call == CallState::Sent && now - step.sentAt >= callExpiry)
        step.call = CallState::Unknown;
    // The member's status shows whether the call took effect. Probe at once, then at the probe interval.
    if (step.call == CallState::Unknown && step.sentAt != Model::Time {}) {
        step.sentAt = {};
        view.requestProbe();
    }
}

Promotion::Step& Promotion::step(const std::string& name)
{
    return *std::ranges::find(m_fences, name, &Step::member);
}

}
