#include "core/proxy/waitestimate.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// In the moving averages, the newest sample has a weight of 1 / samples.
    constexpr int timeSamples = 16;
    constexpr int paceSamples = 32;
    /// A pace is used only if it was measured within this time: load changes within seconds.
    constexpr Model::Duration paceLifetime = std::chrono::seconds(1);

    /// Bounds the sum of times; no host has as many sessions.
    constexpr std::size_t maxCounted = 1'000'000;

    void average(Model::Duration& mean, Model::Duration sample) { mean += (sample - mean) / timeSamples; }

}

void WaitEstimate::statementEnded(int priority, Model::Duration held)
{
    const auto [mean, isFirst] = m_meanStatementTimes.try_emplace(priority, held);
    if (!isFirst)
        average(mean->second, held);
    average(m_meanOpeningTime, std::exchange(m_openingTime, {}));
}

Model::Duration WaitEstimate::meanStatementTime(int priority) const
{
    const auto mean = m_meanStatementTimes.find(priority);
    return mean == m_meanStatementTimes.end() ? Model::Duration {} : mean->second;
}

void WaitEstimate::taken(const WaitingRequest& request, bool isBacklogged, Model::Time now)
{
    if (request.isLate) {
        m_lateServedAt[{ request.lane, request.priority }] = now;
        return;
    }
    Pace& pace = m_paces[{ request.lane, request.priority }];
    if (now - pace.takenAt > paceLifetime) {
        pace = {};
    } else if (pace.isBacklogged) {
        // The first samples are averaged evenly, so that none of them dominates.
        pace.samples = std::min(pace.samples + 1, paceSamples);
        pace.interval += (now - pace.takenAt - pace.interval) / pace.samples;
    }
    pace.takenAt = now;
    pace.isBacklogged = isBacklogged;
}

void WaitEstimate::lateWaitsFrom(const WaitingRequest& request, Model::Time now)
{
    m_lateServedAt[{ request.lane, request.priority }] = now;
}

Model::Duration WaitEstimate::lateUnservedFor(const WaitingRequest& request, Model::Time now) const
{
    const auto served = m_lateServedAt.find({ request.lane, request.priority });
    return served == m_lateServedAt.end() ? Model::Duration {} : now - served->second;
}

Model::Duration WaitEstimate::expectedWait(
    const WaitingRequest& request, const QueueAhead& ahead, int slots, Model::Time now) const
{
    Model::Duration work {};
    std::int64_t left = static_cast<std::int64_t>(std::min<std::size_t>(ahead.maximum, maxCounted));
    for (const auto& [priority, count] : ahead.classes) {
        const std::int64_t counted = std::min(left, static_cast<std::int64_t>(count));
        work += (meanStatementTime(priority) + m_meanOpeningTime) * counted;
        left -= counted;
    }
    const Model::Duration bySlots = work / std::max(1, slots);
    if (ahead.classes.empty())
        return {};
    if (request.isLate)
        return ahead.ofClass > 0 ? std::max(bySlots, lateUnservedFor(request, now)) : bySlots;
    // The pace tells how much more urgent requests that arrive later will take. It was measured with shorter
    // queues, so without such requests the slots tell more.
    const auto found = m_paces.find({ request.lane, request.priority });
    if (found == m_paces.end() || ahead.classes.front().first == request.priority)
        return bySlots;
    const Pace& pace = found->second;
    if (pace.samples < paceSamples || now - pace.takenAt > paceLifetime)
        return bySlots;
    return std::max(bySlots, pace.interval * static_cast<std::int64_t>(ahead.ofClass));
}

}
