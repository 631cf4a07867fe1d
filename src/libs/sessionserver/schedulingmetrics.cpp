#include "sessionserver/schedulingmetrics.h"

#include "metrics/registry.h"

namespace SessionServer {

SchedulingMetrics::SchedulingMetrics(Metrics::Registry& registry)
    : m_waiting(registry.gauge("parsleytack_statements_waiting_for_slot"))
    , m_refusedByEstimate(registry.counter("parsleytack_statements_refused_by_estimate_total"))
    , m_busyAnswers(registry.counter("parsleytack_upstream_busy_answers_total"))
    , m_windowDecreases(registry.counter("parsleytack_slot_window_decreases_total"))
    , m_windowIncreases(registry.counter("parsleytack_slot_window_increases_total"))
{
}

void SchedulingMetrics::update(const Proxy::SchedulingStats& stats)
{
    m_waiting.set(static_cast<std::int64_t>(stats.waiting));
    m_refusedByEstimate.set(static_cast<std::int64_t>(stats.refusedByEstimate));
    m_busyAnswers.set(static_cast<std::int64_t>(stats.busyAnswers));
    m_windowDecreases.set(static_cast<std::int64_t>(stats.windowDecreases));
    m_windowIncreases.set(static_cast<std::int64_t>(stats.windowIncreases));
}

}
