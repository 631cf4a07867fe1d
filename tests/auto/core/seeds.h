#pragma once

#include <cstdint>
#include <cstdlib>
#include <random>

#include <gtest/gtest.h>

/// Runs `simulation(generator)` for the seeds 1 to `count`, or only for the seed in the environment variable
/// PARSLEYTACK_SEED. Stops at the first seed that fails; the failure message includes the seed.
template <typename Simulation> void forEachSeed(std::uint64_t count, const Simulation& simulation)
{
    const char* only = std::getenv("PARSLEYTACK_SEED");
    const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 1;
    const std::uint64_t last = only ? first : count;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 generator(seed);
        simulation(generator);
        if (testing::Test::HasFailure())
            return;
    }
}

/// Returns a random number from 0 to `limit` - 1.
inline std::uint64_t below(std::uint64_t limit, std::mt19937_64& generator) { return generator() % limit; }

/// Returns true with a probability of 1 / `times`.
inline bool onceIn(std::uint64_t times, std::mt19937_64& generator) { return generator() % times == 0; }
