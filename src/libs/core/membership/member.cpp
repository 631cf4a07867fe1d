#include "core/membership/member.h"

#include <array>
#include <tuple>

namespace Membership {

namespace {

    constexpr std::array<std::string_view, 4> stateNames { "alive", "suspect", "dead", "leaving" };
    /// Indexed by state. With equal incarnation and refutation number, the state with the higher rank takes
    /// precedence.
    constexpr std::array<int, 4> stateRanks { 0, 2, 3, 1 };
    constexpr int incarnationRandomBits = 16;

}

std::string_view memberStateName(MemberState state)
{
    const auto index = static_cast<std::size_t>(state);
    return index < stateNames.size() ? stateNames[index] : "unknown";
}

bool supersedes(const MemberUpdate& update, const MemberUpdate& known)
{
    const auto rank = [](const MemberUpdate& of) {
        return std::tuple(of.incarnation, of.refutation, stateRanks[static_cast<std::size_t>(of.state)]);
    };
    return rank(update) > rank(known);
}

std::uint64_t makeIncarnation(std::uint64_t unixMilliseconds, std::uint16_t randomBits)
{
    return unixMilliseconds << incarnationRandomBits | randomBits;
}

std::uint64_t incarnationMilliseconds(std::uint64_t incarnation)
{
    return incarnation >> incarnationRandomBits;
}

}
