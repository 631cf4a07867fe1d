#include "core/replication/readrouting.h"

#include "core/replication/timing.h"

#include <algorithm>

namespace Replication {

namespace {

    bool isInService(const MemberView& member, Model::Time now)
    {
        return member.isActive() && member.isReachable(now) && !member.isSuspected();
    }

    bool isRecentEnough(
        const ReadRequest& request, const ReadView& view, const MemberView& member, Model::Time now)
    {
        if (!request.maxAge)
            return true;
        const std::optional<Model::Time> asOf = view.freshness->currentAsOf(member);
        return asOf && now - *asOf <= *request.maxAge;
    }

    /// Whether `left` is preferable to `right`. Members with a free execution slot come first, then those in
    /// the owner's availability zone, then those with the lower load per slot.
    bool isPreferable(const ReadRequest& request, const ReadView& view, std::size_t left, std::size_t right)
    {
        const auto key = [&](std::size_t index) {
            const Member& member = view.members[index].member();
            const std::uint32_t running = view.loads[index].running;
            return std::pair(running >= member.slots, member.zone != request.zone);
        };
        if (key(left) != key(right))
            return key(left) < key(right);
        const auto cost = [&](std::size_t load, std::size_t slots) {
            return std::uint64_t { view.loads[load].running } * view.members[slots].member().slots;
        };
        return cost(left, right) < cost(right, left);
    }

    ReadRoute routeTo(ReadRoute::Kind kind, const MemberView& member)
    {
        return { .kind = kind, .member = member.name(), .term = member.promisedTerm(), .until = {} };
    }

    ReadRoute waitOr(ReadRoute::Kind kind, Model::Time until, Model::Time now)
    {
        if (now < until)
            kind = ReadRoute::Kind::Wait;
        return { .kind = kind, .member = {}, .term = 0, .until = until };
    }

    /// Whether reports that were requested after the read arrived show that the session's position no longer
    /// exists: the primary of its term does not have it, or every member is below it and has promised only
    /// lower terms.
    bool isPositionLost(const ReadRequest& request, const ReadView& view)
    {
        const auto isBelow = [&](const MemberView& member) {
            return member.requestedAt() > request.arrivedAt && member.lastEntry() < request.session;
        };
        const MemberView* primary = view.primary;
        if (primary && isBelow(*primary) && primary->promisedTerm() == request.session.term)
            return true;
        return std::ranges::all_of(view.members, [&](const MemberView& member) {
            return isBelow(member) && member.promisedTerm() < request.session.term;
        });
    }

    /// Whether the primary may serve the read. A primary of a lower term than the session's was replaced,
    /// although this owner has not received a report of that yet.
    bool mayServe(
        const MemberView& primary, const ReadRequest& request, const ReadView& view, Model::Time now)
    {
        if (primary.promisedTerm() < request.session.term)
            return false;
        if (!request.maxAge)
            return true;
        const std::optional<Model::Time> asOf = view.freshness->currentAsOf(primary);
        return asOf && now - *asOf <= std::max(*request.maxAge, unresponsiveLimit);
    }

}

ReadRoute routeRead(const ReadRequest& request, const ReadView& view, Model::Time now)
{
    std::optional<std::size_t> best;
    bool mayBecomeSuitable = false;
    for (std::size_t i = 0; i < view.members.size(); ++i) {
        const MemberView& member = view.members[i];
        if (&member == view.primary || member.role() == Role::Primary || !isInService(member, now))
            continue;
        mayBecomeSuitable = true;
        if (!view.loads[i].isUsable || member.lastEntry() < request.session
            || !isRecentEnough(request, view, member, now))
            continue;
        if (!best || isPreferable(request, view, i, *best))
            best = i;
    }
    if (best)
        return routeTo(ReadRoute::Kind::Replica, view.members[*best]);

    const Model::Time replicaUntil = request.arrivedAt + replicaWait;
    if (mayBecomeSuitable && now < replicaUntil)
        return waitOr(ReadRoute::Kind::Wait, replicaUntil, now);
    if (isPositionLost(request, view))
        return { .kind = ReadRoute::Kind::PositionLost, .member = {}, .term = 0, .until = {} };
    if (view.primary && mayServe(*view.primary, request, view, now))
        return routeTo(ReadRoute::Kind::Primary, *view.primary);
    return waitOr(ReadRoute::Kind::Unavailable, view.unavailableUntil, now);
}

}
