#pragma once

#include "metrics/histogram.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Metrics {

/// A value that any thread may change.
class Counter {
public:
    void add(std::int64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value = 0;
};

/// Owns the counters of a process. References stay valid as long as the registry; any thread may use it.
class Registry {
public:
    /// `labels` in the text form, for example `code="rate_limited"`, or empty.
    Counter& counter(const std::string& name, const std::string& labels = {});
    Counter& gauge(const std::string& name, const std::string& labels = {});
    Histogram& histogram(const std::string& name, const std::string& labels = {});

    /// All metrics in the text exposition format.
    std::string text() const;

private:
    using Series = std::map<std::string, Counter>;

    mutable std::mutex m_mutex;
    std::map<std::string, Series> m_counters;
    std::map<std::string, Series> m_gauges;
    std::map<std::string, std::map<std::string, Histogram>> m_histograms;
};

}
