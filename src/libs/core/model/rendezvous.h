#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Model {

/// Returns the 64-bit XXH3 hash of `text` (https://xxhash.com). It is the same on all hosts.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Assigns `subject` to a candidate by rendezvous hashing (highest random weight; Thaler and Ravishankar,
/// "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998) and
/// returns the candidate's index, or -1 without candidates. Removing a candidate moves only the subjects
/// that are assigned to it.
int rendezvousIndex(std::string_view subject, std::span<const std::string> candidates);

}
