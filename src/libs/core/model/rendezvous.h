#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Model {

/// A 64-bit hash (xxHash, XXH3) that is equal on all hosts.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// The index of the candidate with the highest hash together with `subject` (rendezvous hashing). The
/// loss of a candidate moves only the subjects that it had. Returns -1 without candidates.
int rendezvousIndex(std::string_view subject, std::span<const std::string> candidates);

}
