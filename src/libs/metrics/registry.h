#pragma once

#include "metrics/histogram.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Metrics {

/// Value of a counter or of a gauge. Any thread may use it.
class Counter {
public:
    void add(std::int64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value = 0;
};

/// Owns the metrics of a process. The references that it returns remain valid as long as the registry exists.
/// Any thread may use it.
class Registry {
public:
    /// The following functions return the metric with this name and these labels, and create it on the first
    /// call. `labels` has the form of the Prometheus text exposition format, for example
    /// `code="rate_limited"`, or is empty.
    Counter& counter(const std::string& name, const std::string& labels = {});
    Counter& gauge(const std::string& name, const std::string& labels = {});
    Histogram& histogram(const std::string& name, const std::string& labels = {});

    /// Returns all metrics in the Prometheus text exposition format, version 0.0.4.
    std::string text() const;

private:
    using Series = std::map<std::string, Counter>;

    mutable std::mutex m_mutex;
    std::map<std::string, Series> m_counters;
    std::map<std::string, Series> m_gauges;
    std::map<std::string, std::map<std::string, Histogram>> m_histograms;
};

}
