#include "metrics/histogram.h"

#include <algorithm>
#include <bit>

namespace Metrics {

namespace {

    constexpr std::uint64_t firstBoundMicroseconds = 64;

}

void Histogram::record(std::chrono::microseconds duration)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(duration.count(), 0));
    const std::uint64_t scaled = value == 0 ? 0 : (value - 1) / firstBoundMicroseconds;
    const auto bucket = std::min<std::size_t>(std::bit_width(scaled), bucketCount - 1);
    m_counts[bucket].fetch_add(1, std::memory_order_relaxed);
    m_sum.fetch_add(value, std::memory_order_relaxed);
}

std::uint64_t Histogram::upperBound(std::size_t bucket) { return firstBoundMicroseconds << bucket; }

std::uint64_t Histogram::count(std::size_t bucket) const
{
    return m_counts[bucket].load(std::memory_order_relaxed);
}

std::uint64_t Histogram::sum() const { return m_sum.load(std::memory_order_relaxed); }

}
