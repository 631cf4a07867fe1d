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
    /// The upstream is draining before its removal and accepts no new work.
    Leaving,
    /// The upstream's availability zone is taken out of service.
    ZoneOut,
};

std::string_view memberStateName(MemberState state);

enum class Role : std::uint8_t {
    Replica,
    Primary,
};

std::string_view roleName(Role role);

/// The configuration of one upstream of a group.
struct Member {
    std::string name;
    std::string zone;
    /// Execution slots: the number of statements that the upstream executes at a time.
    std::uint32_t slots = 1;
    MemberState state = MemberState::Active;

    bool operator==(const Member&) const = default;
};

/// The status of a member as contained in a response. Fields that the call does not return are empty: a
/// position poll returns no role, and a rejected fence returns only the term.
struct Report {
    std::uint64_t promisedTerm = 0;
    std::optional<Model::LogPosition> lastEntry;
    std::optional<Role> role;
};

/// The smallest number of members for which any two sets of that size overlap.
constexpr std::size_t majorityOf(std::size_t members) { return members / 2 + 1; }

}
