#pragma once

#include <cstdint>
#include <random>

namespace Replication {

using Generator = std::mt19937_64;

/// A term above `highest`: a counter in the upper 40 bits and 24 random bits, so that two hosts which
/// start from the same view choose different terms.
std::uint64_t nextTerm(std::uint64_t highest, Generator& generator);

}
