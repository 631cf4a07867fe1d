#include "core/replication/group.h"

#include "core/replication/timing.h"

#include <algorithm>
#include <utility>

namespace Replication {

Group::Group(std::vector<Member> members, Model::Time now)
    : m_freshAfter(now)
    , m_unavailableSince(now)
{
    replaceMembers(std::move(members), now);
}

void Group::replaceMembers(std::vector<Member> members, Model::Time now)
{
    const std::vector<MemberView> before = std::exchange(m_members, {});
    bool sameNames = before.size() == members.size();
    for (Member& member : members) {
        const auto known = std::ranges::find(before, member.name, &MemberView::name);
        sameNames = sameNames && known != before.end();
        m_members.push_back(known == before.end() ? MemberView(member, now) : *known);
        m_members.back().configure(std::move(member));
    }
    // An attempt counts its majority among the members that it started with, so it ends here.
    if (!sameNames && m_promotion) {
        m_promotion.reset();
        m_freshAfter = now;
    }
    reportsChanged(now);
}

void Group::observeReport(
    const std::string& member, const Report& report, Model::Time sentAt, Model::Time now)
{
    MemberView* view = find(member);
    if (!view)
        return;
    m_highestTerm = std::max(m_highestTerm, report.promisedTerm);
    view->observe(report, sentAt, now);
    if (m_promotion)
        m_promotion->observe(member, report);
    reportsChanged(now);
}

Model::LogPosition Group::observeWrite(const std::string& member, std::uint64_t term,
    Model::LogPosition entry, Model::Time sentAt, Model::Time now)
{
    if (MemberView* view = find(member)) {
        m_highestTerm = std::max(m_highestTerm, term);
        view->observeWrite(term, entry, sentAt, now);
        reportsChanged(now);
    }
    return positionToConfirm(term, entry);
}

void Group::observeFailure(const std::string& member, ConnectionKind connection, Model::Time now)
{
    if (MemberView* view = find(member))
        view->observeFailure(connection, now);
}

void Group::fenceAnswered(const std::string& member, std::uint64_t term, const FenceAnswer& answer,
    Model::Time sentAt, Model::Time now)
{
    if (MemberView* view = find(member))
        view->setTermUpdatePending(std::nullopt);
    if (answer.accepted)
        observeReport(member, { term, answer.lastEntry, Role::Replica }, sentAt, now);
    else
        observeReport(member, { answer.promisedTerm, {}, {} }, sentAt, now);
}

void Group::fenceLost(const std::string& member, std::uint64_t term, Model::Time now)
{
    if (m_promotion && m_promotion->term() == term)
        m_promotion->responseLost(member);
    if (MemberView* view = find(member))
        view->setTermUpdatePending(now + backOffMinimum);
}

void Group::promoteAnswered(const std::string& member, std::uint64_t term, const TermAnswer& answer,
    Model::Time sentAt, Model::Time now)
{
    if (answer.accepted) {
        if (m_promotion && m_promotion->term() == term && m_promotion->candidate() == member)
            m_promotion->promoted();
        observeReport(member, { term, {}, Role::Primary }, sentAt, now);
        return;
    }
    if (answer.promisedTerm > term)
        observeReport(member, { answer.promisedTerm, {}, {} }, sentAt, now);
    else
        promoteLost(member, term);
}

void Group::promoteLost(const std::string& member, std::uint64_t term)
{
    if (m_promotion && m_promotion->term() == term)
        m_promotion->responseLost(member);
}

void Group::followAnswered(const std::string& member, std::uint64_t term, const TermAnswer& answer,
    Model::Time sentAt, Model::Time now)
{
    MemberView* view = find(member);
    if (!view)
        return;
    view->setTermUpdatePending(now + followRetryInterval);
    if (answer.accepted)
        view->setFollowedTerm(term);
    else if (answer.promisedTerm > term)
        observeReport(member, { answer.promisedTerm, {}, {} }, sentAt, now);
}

void Group::followLost(const std::string& member, Model::Time now)
{
    if (MemberView* view = find(member))
        view->setTermUpdatePending(now + backOffMinimum);
}

std::vector<Action> Group::nextActions(Model::Time now, Generator& generator)
{
    std::vector<Action> actions;
    if (m_promotion)
        advancePromotion(actions, now, generator);
    if (!m_promotion)
        considerPromotion(now, generator);
    if (m_promotion)
        m_promotion->advance(m_members, actions, now);
    else
        updateMemberTerms(actions, now);
    updateAvailability(now);
    const Model::Duration interval = m_switchover.isHolding() ? holdProbeInterval : probeInterval;
    for (MemberView& member : m_members) {
        if (std::optional<Probe> probe = member.dueProbe(interval, now))
            actions.emplace_back(std::move(*probe));
    }
    return actions;
}

std::optional<Primary> Group::primary(Model::Time now) const
{
    const MemberView* primary = usablePrimary(now);
    if (!primary)
        return std::nullopt;
    return Primary { primary->name(), primary->promisedTerm() };
}

Confirmation Group::confirmation(Model::LogPosition entry) const
{
    return m_quorum.confirmation(entry, m_members);
}

WriteRoute Group::routeWrite(Model::Time arrivedAt, Model::Time now) const
{
    if (isWritable(now)) {
        const MemberView* primary = reportedPrimary();
        return { WriteRoute::Kind::Run, { primary->name(), primary->promisedTerm() }, {} };
    }
    const Model::Time until = std::min(arrivedAt + promotionBound, unavailableUntil(now));
    return { now < until ? WriteRoute::Kind::Wait : WriteRoute::Kind::NoPrimary, {}, until };
}

ReadRoute Group::routeRead(
    const ReadRequest& request, std::span<const MemberLoad> loads, Model::Time now) const
{
    const ReadView view { m_members, loads, usablePrimary(now), &m_freshness,
        std::min(request.arrivedAt + promotionBound, unavailableUntil(now)) };
    return Replication::routeRead(request, view, now);
}

MemberView* Group::find(const std::string& member)
{
    const auto found = std::ranges::find(m_members, member, &MemberView::name);
    return found == m_members.end() ? nullptr : &*found;
}

const MemberView* Group::reportedPrimary() const
{
    const MemberView* best = nullptr;
    for (const MemberView& member : m_members) {
        if (member.role() == Role::Primary && (!best || member.promisedTerm() > best->promisedTerm()))
            best = &member;
    }
    return best && !isSuperseded(best->promisedTerm(), m_members) ? best : nullptr;
}

const MemberView* Group::usablePrimary(Model::Time now) const
{
    const MemberView* primary = reportedPrimary();
    return primary && !m_promotion && !primary->isFailed(now) ? primary : nullptr;
}

/// Whether a write that is sent now can be expected to be confirmed. Other writes are queued: a write that
/// was sent but is not confirmed has an unknown outcome, whereas a queued one has certainly not run.
bool Group::isWritable(Model::Time now) const
{
    const MemberView* primary = usablePrimary(now);
    if (!primary || primary->isSuspected() || m_switchover.isHolding() || m_stall.isSuspected(now))
        return false;
    const auto quorum = std::ranges::count_if(m_members, [&](const MemberView& member) {
        return member.promisedTerm() == primary->promisedTerm() && member.isReachable(now);
    });
    return static_cast<std::size_t>(quorum) >= majorityOf(m_members.size());
}

Model::Time Group::unavailableUntil(Model::Time now) const
{
    return m_unavailableSince.value_or(now) + promotionBound;
}

std::size_t Group::reachableCount(Model::Time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_members, [&](const MemberView& member) {
        return member.isReachable(now) && member.requestedAt() >= m_freshAfter;
    }));
}

void Group::reportsChanged(Model::Time now)
{
    m_quorum.update(m_members);
    const MemberView* primary = reportedPrimary();
    if (!primary)
        return;
    m_freshness.update(*primary, m_members);
    Model::Time progressAt {};
    for (const MemberView& member : m_members) {
        if (&member != primary && member.promisedTerm() == primary->promisedTerm())
            progressAt = std::max(progressAt, member.progressAt());
    }
    m_stall.update(primary->promisedTerm(), primary->lastEntry(), m_quorum.confirmed(), progressAt, now);
}

void Group::updateAvailability(Model::Time now)
{
    if (isWritable(now))
        m_unavailableSince.reset();
    else if (!m_unavailableSince)
        m_unavailableSince = now;
}

void Group::advancePromotion(std::vector<Action>& actions, Model::Time now, Generator& generator)
{
    m_promotion->advance(m_members, actions, now);
    switch (m_promotion->state()) {
    case Promotion::State::Fencing:
    case Promotion::State::Promoting:
        return;
    case Promotion::State::Succeeded:
        m_stalledPrimary.clear();
        for (MemberView& member : m_members)
            member.requestProbe();
        break;
    case Promotion::State::Superseded:
    case Promotion::State::TimedOut:
        backOff(now, generator);
        break;
    }
    m_promotion.reset();
}

void Group::considerPromotion(Model::Time now, Generator& generator)
{
    const MemberView* primary = reportedPrimary();
    if (primary && !primary->isFailed(now)) {
        m_backOffUntil.reset();
        considerReplacement(*primary, now, generator);
        return;
    }
    m_orphanedFenceSince.reset();
    if (!mayPromote(now))
        return;
    // If this owner has not seen the primary fail itself, another host may be promoting a member now.
    if (!primary && !m_backOffUntil)
        backOff(now, generator);
    if (m_backOffUntil && now < *m_backOffUntil)
        return;
    startPromotion(primary ? primary->name() : std::string(), now, generator);
}

void Group::considerReplacement(const MemberView& primary, Model::Time now, Generator& generator)
{
    m_stalledPrimary = m_stall.isSuspected(now) ? primary.name() : std::string();
    if (m_stall.isStalled(now) && canPromoteWithout(primary.name(), now)) {
        m_stall.promotionStarted();
        startPromotion(primary.name(), now, generator);
        return;
    }
    if (hasOrphanedFence(primary, now)) {
        startPromotion(primary.name(), now, generator);
        return;
    }
    if (m_switchover.update(primary, m_members, m_writesInProgress, now) == Switchover::Step::Promote)
        startPromotion(primary.name(), now, generator);
}

/// Whether a member has been fenced for `orphanedFenceLimit` and no promotion followed. Such a member
/// rejects the entries of the primary, whose term is lower, until a promotion under a still higher term.
bool Group::hasOrphanedFence(const MemberView& primary, Model::Time now)
{
    const bool hasHigherTerm = std::ranges::any_of(m_members, [&](const MemberView& member) {
        return member.promisedTerm() > primary.promisedTerm() && member.isReachable(now);
    });
    if (!hasHigherTerm)
        m_orphanedFenceSince.reset();
    else if (!m_orphanedFenceSince)
        m_orphanedFenceSince = now;
    return m_orphanedFenceSince && now - *m_orphanedFenceSince >= orphanedFenceLimit;
}

/// Whether a majority is reachable and every other member is known to have failed. A member that has neither
/// responded nor failed may be the primary.
bool Group::mayPromote(Model::Time now) const
{
    return reachableCount(now) >= majorityOf(m_members.size())
        && std::ranges::all_of(m_members,
            [&](const MemberView& member) { return member.isReachable(now) || member.isFailed(now); });
}

/// Whether the other active and reachable members are a majority, so that `member` can be excluded from a
/// promotion.
bool Group::canPromoteWithout(const std::string& member, Model::Time now) const
{
    const auto others = std::ranges::count_if(m_members, [&](const MemberView& other) {
        return other.name() != member && other.isActive() && other.isReachable(now);
    });
    return static_cast<std::size_t>(others) >= majorityOf(m_members.size());
}

void Group::startPromotion(std::string previous, Model::Time now, Generator& generator)
{
    m_backOffUntil.reset();
    m_orphanedFenceSince.reset();
    m_highestTerm = nextTerm(m_highestTerm, generator);
    std::string excluded = canPromoteWithout(m_stalledPrimary, now) ? m_stalledPrimary : std::string();
    m_promotion.emplace(m_highestTerm, m_members, std::move(previous), std::move(excluded), now);
}

void Group::backOff(Model::Time now, Generator& generator)
{
    std::uniform_int_distribution<Model::Duration::rep> jitter(
        backOffMinimum.count(), backOffMaximum.count());
    m_backOffUntil = now + Model::Duration(jitter(generator));
    m_freshAfter = now;
    for (MemberView& member : m_members)
        member.requestProbe();
}

void Group::updateMemberTerms(std::vector<Action>& actions, Model::Time now)
{
    const MemberView* primary = usablePrimary(now);
    if (!primary)
        return;
    const std::uint64_t term = primary->promisedTerm();
    for (MemberView& member : m_members) {
        if (&member == primary || member.promisedTerm() > term || !member.isReachable(now)
            || !member.mayUpdateTerm(now))
            continue;
        const bool isLagging
            = member.lastEntry() < primary->lastEntry() && now - member.progressAt() >= followRetryInterval;
        if (member.promisedTerm() < term)
            actions.emplace_back(Fence { member.name(), term });
        else if (member.followedTerm() != term || isLagging)
            actions.emplace_back(Follow { member.name(), term, primary->name() });
        else
            continue;
        member.setTermUpdatePending(now + callExpiry);
    }
}

}
