#include "core/failover/termhistory.h"

#include <algorithm>

namespace Failover {

namespace {

    /// An upstream that has received nothing during so many terms is told by the oldest of them.
    constexpr std::size_t maxStarts = 8;

}

TermHistory::TermHistory(std::vector<TermStart> starts)
{
    for (TermStart& start : starts)
        add(std::move(start));
}

void TermHistory::add(TermStart start)
{
    std::erase_if(m_starts, [&](const TermStart& known) { return known.term >= start.term; });
    m_starts.push_back(std::move(start));
    if (m_starts.size() > maxStarts)
        m_starts.erase(m_starts.begin());
}

bool TermHistory::hasDiverged(const Model::LogPosition& end) const
{
    // Positions are numbered throughout, so that a log of an earlier term that is longer than the primary's
    // was has diverged whichever term it ends in.
    return std::ranges::any_of(m_starts, [&](const TermStart& start) {
        return end.term < start.term && (end > start.end || end.position > start.end.position);
    });
}

}
