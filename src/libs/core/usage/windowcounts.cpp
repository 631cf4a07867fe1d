#include "core/usage/windowcounts.h"

#include <algorithm>
#include <utility>

namespace Usage {

namespace {

    constexpr int completeReportCount = 2;

}

void WindowCounts::add(const std::string& customer, Window window)
{
    if (m_newest && window + m_kept <= *m_newest)
        return;
    Entry& entry = m_windows[window];
    ++entry.counts[customer];
    entry.changed.insert(customer);
    removeOld(window);
}

void WindowCounts::removeOld(Window newest)
{
    m_newest = std::max(m_newest.value_or(newest), newest);
    std::erase_if(m_windows, [this](const auto& entry) { return entry.first + m_kept <= *m_newest; });
}

std::vector<WindowReport> WindowCounts::takeUnsent(Window current)
{
    // A window in which this host ran no statement is still reported as complete.
    m_windows.try_emplace(current);
    removeOld(current);
    std::vector<WindowReport> reports;
    for (auto& [window, entry] : m_windows) {
        const bool isOver = window < current;
        const std::set<std::string> changed = std::exchange(entry.changed, {});
        if (isOver && (entry.completeReports < completeReportCount || !changed.empty())) {
            ++entry.completeReports;
            reports.push_back({ window, true, entry.counts });
            continue;
        }
        if (changed.empty())
            continue;
        WindowReport report { window, false, {} };
        for (const std::string& customer : changed)
            report.counts.emplace(customer, entry.counts.at(customer));
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<WindowReport> WindowCounts::all() const
{
    std::vector<WindowReport> reports;
    for (const auto& [window, entry] : m_windows)
        reports.push_back({ window, true, entry.counts });
    return reports;
}

}
