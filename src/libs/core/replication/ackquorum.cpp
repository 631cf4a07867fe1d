#include "core/replication/ackquorum.h"

#include <algorithm>

namespace Replication {

namespace {

    /// The highest entry of the primary's term that a majority, including the primary, holds.
    Model::LogPosition quorumEntry(const MemberView& primary, std::span<const MemberView> members)
    {
        const std::uint64_t term = primary.promisedTerm();
        Model::LogPosition best;
        for (const MemberView& candidate : members) {
            const Model::LogPosition entry = std::min(candidate.lastEntry(), primary.lastEntry());
            if (candidate.promisedTerm() != term || entry.term != term || entry <= best)
                continue;
            const auto holders = std::ranges::count_if(members, [&](const MemberView& member) {
                return member.promisedTerm() == term && member.lastEntry() >= entry;
            });
            if (static_cast<std::size_t>(holders) >= majorityOf(members.size()))
                best = entry;
        }
        return best;
    }

}

void AckQuorum::update(std::span<const MemberView> members)
{
    for (const MemberView& member : members) {
        if (member.role() != Role::Primary)
            continue;
        const Model::LogPosition entry = quorumEntry(member, members);
        if (entry <= m_confirmed)
            continue;
        if (entry.term != m_confirmed.term)
            m_confirmedBefore = m_confirmed;
        m_confirmed = entry;
    }
}

Confirmation AckQuorum::confirmation(Model::LogPosition entry, std::span<const MemberView> members) const
{
    for (const Model::LogPosition& confirmed : { m_confirmed, m_confirmedBefore }) {
        if (entry.term == confirmed.term && entry <= confirmed)
            return Confirmation::Confirmed;
    }
    return isSuperseded(entry.term, members) ? Confirmation::Superseded : Confirmation::Pending;
}

Model::LogPosition positionToConfirm(std::uint64_t term, Model::LogPosition entry)
{
    return std::max(entry, Model::LogPosition { term, 0 });
}

bool isSuperseded(std::uint64_t term, std::span<const MemberView> members)
{
    const auto higher = static_cast<std::size_t>(std::ranges::count_if(
        members, [term](const MemberView& member) { return member.promisedTerm() > term; }));
    return members.size() - higher < majorityOf(members.size());
}

}
