#pragma once

#include "core/membership/member.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// The hosts of which a contact round requires a majority. Stored in the row `roster`, which is changed only
/// by conditional update and only while `ContactTracker::rosterChangeAllowed` returns true.
struct Roster {
    /// The version of the row; 0 if no roster is known.
    std::uint64_t version = 0;
    std::vector<std::string> names;
    /// The names of the previous version. A contact round requires a majority of these as well, so that
    /// majorities of successive versions have a host in common.
    std::vector<std::string> previousNames;
};

/// The roster that should replace `current` according to the membership view: live members are added, names
/// that are no longer members are removed. Empty if there is no difference, or if another member is
/// responsible for changes. A change never removes half of the names or more, because a membership view
/// that lacks so many hosts is probably incomplete.
std::optional<Roster> nextRoster(
    const Roster& current, std::span<const Member> members, std::string_view ownName);

}
