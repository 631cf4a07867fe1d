#pragma once

#include "core/proxy/engine.h"

namespace Metrics {
class Counter;
class Registry;
}

namespace SessionServer {

/// The counters of the queue for execution slots. Used on one thread.
class SchedulingMetrics {
public:
    explicit SchedulingMetrics(Metrics::Registry& registry);

    void update(const Proxy::SchedulingStats& stats);

private:
    Metrics::Counter& m_waiting;
    Metrics::Counter& m_refusedByEstimate;
    Metrics::Counter& m_busyAnswers;
    Metrics::Counter& m_windowDecreases;
    Metrics::Counter& m_windowIncreases;
};

}
