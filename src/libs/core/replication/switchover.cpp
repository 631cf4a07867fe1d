#include "core/replication/switchover.h"

#include "core/replication/timing.h"

#include <algorithm>

namespace Replication {

Switchover::Step Switchover::update(const MemberView& primary, std::span<const MemberView> members,
    std::size_t writesInProgress, Model::Time now)
{
    const auto isTarget = [&](const MemberView& member) {
        return member.isActive() && member.isReachable(now) && !member.isSuspected()
            && member.promisedTerm() == primary.promisedTerm();
    };
    const auto targets = static_cast<std::size_t>(std::ranges::count_if(members, isTarget));
    if (primary.isActive() || targets == 0) {
        m_heldSince.reset();
        return Step::None;
    }
    if (!m_heldSince) {
        if (now < m_retryAt)
            return Step::None;
        m_heldSince = now;
    }
    const bool caughtUp = std::ranges::any_of(
        members, [&](const MemberView& member) { return isTarget(member) && hasCaughtUp(member, primary); });
    if (caughtUp && writesInProgress == 0)
        return finish(Step::Promote, now);
    if (now - *m_heldSince < holdLimit)
        return Step::Hold;
    // Without a majority of active members, the promotion would choose the previous primary again because
    // of its higher last entry.
    return finish(caughtUp || targets >= majorityOf(members.size()) ? Step::Promote : Step::None, now);
}

bool Switchover::hasCaughtUp(const MemberView& member, const MemberView& primary) const
{
    return primary.requestedAt() >= *m_heldSince && member.lastEntry() >= primary.lastEntry();
}

Switchover::Step Switchover::finish(Step step, Model::Time now)
{
    m_heldSince.reset();
    m_retryAt = now + switchoverRetryInterval;
    return step;
}

}
