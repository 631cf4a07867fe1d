#pragma once

#include "core/model/logposition.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Replication {

enum class MemberState : std::uint8_t {
    Active,
    /// The upstream is being removed and takes no new work.
    Leaving,
    /// The upstream's availability zone is taken out.
    ZoneOut,
};

std::string_view memberStateName(MemberState state);

enum class Role : std::uint8_t {
    Replica,
    Primary,
};

std::string_view roleName(Role role);

/// One upstream of a group, as configured.
struct Member {
    std::string name;
    std::string zone;
    /// Statements that it executes at a time.
    std::uint32_t slots = 1;
    MemberState state = MemberState::Active;

    bool operator==(const Member&) const = default;
};

/// What a member said about itself. A call that does not return a field leaves it empty: a position poll
/// returns no role, and a refused fence only the term.
struct Report {
    std::uint64_t promisedTerm = 0;
    std::optional<Model::LogPosition> lastEntry;
    std::optional<Role> role;
};

/// The number of members that any two quorums have to reach in order to overlap.
constexpr std::size_t majorityOf(std::size_t members) { return members / 2 + 1; }

}
