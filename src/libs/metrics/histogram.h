#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace Metrics {

/// Counts durations in buckets whose bounds double from 64 microseconds. Any thread may record.
class Histogram {
public:
    static constexpr std::size_t bucketCount = 20;

    void record(std::chrono::microseconds duration);

    /// Upper bound of a bucket, in microseconds; the last bucket has none.
    static std::uint64_t upperBound(std::size_t bucket);
    std::uint64_t count(std::size_t bucket) const;
    /// Sum of all durations, in microseconds.
    std::uint64_t sum() const;

private:
    std::array<std::atomic<std::uint64_t>, bucketCount> m_counts {};
    std::atomic<std::uint64_t> m_sum = 0;
};

}
