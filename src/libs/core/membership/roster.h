#pragma once

#include "core/membership/member.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// The hosts whose majority counts, row `roster` of the store. The row is changed by conditional update
/// only, and only while `ContactTracker::rosterChangeAllowed`.
struct Roster {
    /// The version of the row; 0 if no roster is known.
    std::uint64_t version = 0;
    std::vector<std::string> names;
    /// The names of the version before, of which a majority has to be present as well.
    std::vector<std::string> previousNames;
};

/// The roster that should replace `present` according to the membership view: live members come in, names
/// that are no members any more leave. Nothing if there is no difference, or if changes are left to another
/// member. A change never removes half of the names, because a view that small is probably incomplete.
std::optional<Roster> nextRoster(
    const Roster& current, std::span<const Member> members, std::string_view ownName);

}
