#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace Metrics {

/// Histogram of durations. The upper bounds of its buckets double, from 64 microseconds to about 16.8 s; the
/// last bucket has no bound. Any thread may use it.
class Histogram {
public:
    static constexpr std::size_t bucketCount = 20;

    /// Counts a duration; a negative one counts as 0.
    void record(std::chrono::microseconds duration);

    /// Inclusive upper bound of a bucket other than the last one, in microseconds.
    static std::uint64_t upperBound(std::size_t bucket);
    /// Number of durations in this bucket alone, not cumulative.
    std::uint64_t count(std::size_t bucket) const;
    /// Sum of all durations, in microseconds.
    std::uint64_t sum() const;

private:
    std::array<std::atomic<std::uint64_t>, bucketCount> m_counts {};
    std::atomic<std::uint64_t> m_sum = 0;
};

}
