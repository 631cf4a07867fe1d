#include "core/usage/usagecollector.h"

#include <algorithm>

namespace Usage {

void UsageCollector::receive(
    const std::string& host, std::uint64_t incarnation, const WindowReport& report, Window current)
{
    // A sender's clock may be ahead by a moment.
    const bool isNear = report.window + m_kept > current && report.window <= current + 1;
    if (!isNear)
        return;
    std::erase_if(m_windows, [&](const auto& entry) { return entry.first + m_kept <= current; });
    Entry& entry = m_windows[report.window];
    if (report.isComplete)
        entry.complete.insert(host);
    std::vector<std::uint32_t>& counts = entry.counts[{ host, incarnation }];
    for (const auto& [customer, count] : report.counts) {
        const std::size_t index = indexOf(customer);
        if (index >= counts.size())
            counts.resize(index + 1);
        counts[index] = std::max(counts[index], static_cast<std::uint32_t>(count));
    }
}

std::size_t UsageCollector::indexOf(const std::string& customer)
{
    const auto [entry, isNew] = m_indices.try_emplace(customer, m_customers.size());
    if (isNew)
        m_customers.push_back(customer);
    return entry->second;
}

Counts UsageCollector::total(Window window) const
{
    Counts total;
    const auto entry = m_windows.find(window);
    if (entry == m_windows.end())
        return total;
    for (const auto& [sender, counts] : entry->second.counts) {
        for (std::size_t index = 0; index < counts.size(); ++index) {
            if (counts[index] != 0)
                total[m_customers[index]] += counts[index];
        }
    }
    return total;
}

bool UsageCollector::isComplete(Window window, const std::string& host) const
{
    const auto entry = m_windows.find(window);
    return entry != m_windows.end() && entry->second.complete.contains(host);
}

}
