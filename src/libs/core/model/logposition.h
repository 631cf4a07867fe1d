#pragma once

#include <compare>
#include <cstdint>

namespace Model {

/// Position of an entry in the replicated log of a group. Positions are ordered by term first: an upstream
/// whose last entry has a higher term holds every acknowledged entry of the lower terms.
struct LogPosition {
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    // clang-tidy mistakes the zero in the rewritten comparison for a null pointer.
    auto operator<=>(const LogPosition&) const = default; // NOLINT(modernize-use-nullptr)
};

}
