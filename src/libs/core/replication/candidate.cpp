#include "core/replication/candidate.h"

#include "core/replication/member.h"

#include <algorithm>
#include <tuple>

namespace Replication {

namespace {

    bool isBetter(const FencedMember& left, const FencedMember& right)
    {
        return std::tie(left.lastEntry, left.isPreferred, left.wasPrimary)
            > std::tie(right.lastEntry, right.isPreferred, right.wasPrimary);
    }

}

std::optional<std::string> chooseCandidate(std::span<const FencedMember> fenced, std::size_t groupSize)
{
    const std::size_t majority = majorityOf(groupSize);
    if (fenced.size() < majority)
        return std::nullopt;
    const auto preferred = std::ranges::count_if(fenced, &FencedMember::isPreferred);
    const bool onlyPreferred = static_cast<std::size_t>(preferred) >= majority;
    const FencedMember* best = nullptr;
    for (const FencedMember& member : fenced) {
        if (onlyPreferred && !member.isPreferred)
            continue;
        if (!best || isBetter(member, *best))
            best = &member;
    }
    return best->name;
}

}
