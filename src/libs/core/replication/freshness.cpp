#include "core/replication/freshness.h"

#include "core/replication/timing.h"

#include <algorithm>

namespace Replication {

namespace {

    constexpr Model::Duration checkpointInterval = 100ms;

    /// The latest time at which a majority, including the primary, is known not to have promised a higher
    /// term. No other primary acknowledged a write before that time.
    std::optional<Model::Time> primaryRoleConfirmedAt(
        const MemberView& primary, std::span<const MemberView> members)
    {
        std::optional<Model::Time> best;
        for (const MemberView& candidate : members) {
            const Model::Time time = std::min(candidate.requestedAt(), primary.requestedAt());
            if (candidate.promisedTerm() != primary.promisedTerm() || (best && time <= *best))
                continue;
            const auto reports = std::ranges::count_if(members, [&](const MemberView& member) {
                return member.promisedTerm() == primary.promisedTerm() && member.requestedAt() >= time;
            });
            if (static_cast<std::size_t>(reports) >= majorityOf(members.size()))
                best = time;
        }
        return best;
    }

}

void Freshness::update(const MemberView& primary, std::span<const MemberView> members)
{
    if (primary.promisedTerm() != m_term) {
        m_term = primary.promisedTerm();
        m_size = 0;
    }
    // A last entry of an earlier term dates from before the promotion. Wait until the primary reports the
    // empty entry with which its term begins.
    if (primary.lastEntry().term != m_term)
        return;
    const std::optional<Model::Time> time = primaryRoleConfirmedAt(primary, members);
    if (!time)
        return;
    if (m_size > 0) {
        const Checkpoint& latest = m_checkpoints[(m_begin + m_size - 1) % m_checkpoints.size()];
        if (*time < latest.time + checkpointInterval)
            return;
    }
    if (m_size == m_checkpoints.size()) {
        m_begin = (m_begin + 1) % m_checkpoints.size();
        --m_size;
    }
    m_checkpoints[(m_begin + m_size) % m_checkpoints.size()] = { *time, primary.lastEntry() };
    ++m_size;
}

std::optional<Model::Time> Freshness::currentAsOf(const MemberView& member) const
{
    if (member.promisedTerm() != m_term)
        return std::nullopt;
    for (std::size_t i = m_size; i > 0; --i) {
        const Checkpoint& checkpoint = m_checkpoints[(m_begin + i - 1) % m_checkpoints.size()];
        if (member.lastEntry() >= checkpoint.entry)
            return checkpoint.time;
    }
    return std::nullopt;
}

}
