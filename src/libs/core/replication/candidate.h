#pragma once

#include "core/model/logposition.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace Replication {

/// A member that has promised the term of a promotion, with the properties that decide the choice.
struct FencedMember {
    std::string name;
    Model::LogPosition lastEntry;
    /// The member is active and is not excluded as a stalled primary.
    bool isPreferred = true;
    /// The member was the primary before this promotion. It is preferred among otherwise equal members.
    bool wasPrimary = false;
};

/// Returns the name of the fenced member to promote: the one with the highest last entry. If the preferred
/// members alone are a majority of the group, only they are considered, because together they hold every
/// acknowledged entry. Returns `std::nullopt` if fewer than a majority of `groupSize` members are fenced.
std::optional<std::string> chooseCandidate(std::span<const FencedMember> fenced, std::size_t groupSize);

}
