#include "core/proxy/waitestimate.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// In the moving averages, the newest sample has a weight of 1 / samples.
    constexpr int timeSamples = 16;
    constexpr int paceSamples = 32;
    /// A pace is used only if it was measured within this time: load changes within seconds.
    constexpr Model::Duration paceLifetime = std::chrono::seconds(1);

    void average(Model::Duration& mean, Model::Duration sample)
    {
        mean = mean == Model::Duration {} ? sample : mean + (sample - mean) / timeSamples;
    }

}

void WaitEstimate::slotUsed(SlotUse use, Model::Duration held)
{
    if (use == SlotUse::Opening) {
        m_openingTime += held;
        return;
    }
    average(m_meanStatementTime, held);
    average(m_meanSlotTime, held + std::exchange(m_openingTime, {}));
}

void WaitEstimate::taken(WaitLane lane, int priority, bool isBacklogged, Model::Time now)
{
    Pace& pace = m_paces[{ lane, priority }];
    if (now - pace.takenAt > paceLifetime)
        pace = {};
    else if (pace.isBacklogged) {
        // The first samples are averaged evenly, so that none of them dominates.
        pace.samples = std::min(pace.samples + 1, paceSamples);
        pace.interval += (now - pace.takenAt - pace.interval) / pace.samples;
    }
    pace.takenAt = now;
    pace.isBacklogged = isBacklogged;
}

Model::Duration WaitEstimate::expectedWait(
    const WaitingRequest& request, const QueueAhead& ahead, int slots, Model::Time now) const
{
    const Model::Duration bySlots
        = m_meanSlotTime * static_cast<std::int64_t>(ahead.total) / std::max(1, slots);
    const auto pace = m_paces.find({ request.lane, request.priority });
    if (pace == m_paces.end() || pace->second.samples < paceSamples
        || now - pace->second.takenAt > paceLifetime)
        return bySlots;
    return std::max(bySlots, pace->second.interval * static_cast<std::int64_t>(ahead.ofClass));
}

}
