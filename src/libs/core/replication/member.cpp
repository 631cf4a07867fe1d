#include "core/replication/member.h"

#include <array>

namespace Replication {

namespace {

    constexpr std::array<std::string_view, 3> memberStateNames { "active", "leaving", "zone_out" };
    constexpr std::array<std::string_view, 2> roleNames { "replica", "primary" };

}

std::string_view memberStateName(MemberState state)
{
    return memberStateNames[static_cast<std::size_t>(state)];
}

std::string_view roleName(Role role) { return roleNames[static_cast<std::size_t>(role)]; }

}
