#include "metrics/registry.h"

#include <sstream>

namespace Metrics {

namespace {

    /// Returns `labels` in braces, or an empty string if there are none.
    std::string withLabels(const std::string& labels) { return labels.empty() ? labels : "{" + labels + "}"; }

    void appendHistogram(
        std::ostream& out, const std::string& name, const std::string& labels, const Histogram& histogram)
    {
        const std::string prefix = labels.empty() ? labels : labels + ",";
        std::uint64_t cumulative = 0;
        for (std::size_t bucket = 0; bucket < Histogram::bucketCount; ++bucket) {
            cumulative += histogram.count(bucket);
            const bool isLast = bucket + 1 == Histogram::bucketCount;
            const std::string bound = isLast ? "+Inf" : std::to_string(Histogram::upperBound(bucket));
            out << name << "_bucket{" << prefix << "le=\"" << bound << "\"} " << cumulative << '\n';
        }
        out << name << "_sum" << withLabels(labels) << ' ' << histogram.sum() << '\n';
        out << name << "_count" << withLabels(labels) << ' ' << cumulative << '\n';
    }

}

Counter& Registry::counter(const std::string& name, const std::string& labels)
{
    const std::lock_guard lock(m_mutex);
    return m_counters[name][labels];
}

Counter& Registry::gauge(const std::string& name, const std::string& labels)
{
    const std::lock_guard lock(m_mutex);
    return m_gauges[name][labels];
}

Histogram& Registry::histogram(const std::string& name, const std::string& labels)
{
    const std::lock_guard lock(m_mutex);
    return m_histograms[name][labels];
}

std::string Registry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    const auto appendAll = [&out](const std::map<std::string, Series>& metrics, const char* type) {
        for (const auto& [name, series] : metrics) {
            out << "# TYPE " << name << ' ' << type << '\n';
            for (const auto& [labels, counter] : series)
                out << name << withLabels(labels) << ' ' << counter.value() << '\n';
        }
    };
    appendAll(m_counters, "counter");
    appendAll(m_gauges, "gauge");
    for (const auto& [name, series] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, histogram] : series)
            appendHistogram(out, name, labels, histogram);
    }
    return out.str();
}

}
