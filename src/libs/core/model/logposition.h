#pragma once

#include <compare>
#include <cstdint>

namespace Model {

/// An entry of a group's log. Entries are ordered by term first: an upstream whose last entry has a
/// higher term holds every acknowledged entry of the lower terms.
struct LogPosition {
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    // The linter takes the zero of the rewritten comparison for a pointer.
    auto operator<=>(const LogPosition&) const = default; // NOLINT(modernize-use-nullptr)
};

}
