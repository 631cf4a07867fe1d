#pragma once

#include "core/model/logposition.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace Replication {

/// A member that has promised the term of a promotion.
struct FencedMember {
    std::string name;
    Model::LogPosition lastEntry;
    /// Active, and not a primary from which nothing replicates.
    bool isPreferred = true;
    /// Was primary before; it is kept if nothing speaks against it.
    bool wasPrimary = false;
};

/// The fenced member to promote: the one with the highest last entry of a majority of the group. If the
/// preferred members are a majority by themselves, the choice is among them, because they hold every
/// acknowledged entry. Returns nothing if fewer than a majority of `groupSize` are fenced.
std::optional<std::string> chooseCandidate(std::span<const FencedMember> fenced, std::size_t groupSize);

}
