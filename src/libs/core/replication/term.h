#pragma once

#include <cstdint>
#include <random>

namespace Replication {

using Generator = std::mt19937_64;

/// Returns a term above `highest`. The upper 40 bits are a counter and the lower 24 bits are random, so that
/// two hosts that start from the same view are unlikely to choose the same term.
std::uint64_t nextTerm(std::uint64_t highest, Generator& generator);

}
