#include "core/usage/windowclock.h"

#include <algorithm>
#include <vector>

namespace Usage {

namespace {

    /// Longer than the longest period between two reports of a host in a large fleet.
    constexpr Model::Duration observationLifetime = std::chrono::seconds(30);

}

WindowClock::WindowClock(Model::Duration windowLength)
    : m_windowLength(windowLength)
{
}

void WindowClock::observe(const std::string& host, WallTime wall, Model::Time now)
{
    const Model::Duration offset = wall - now.time_since_epoch();
    const auto [entry, isNew] = m_observations.try_emplace(host, Observation { offset, now });
    // Of several messages, the one with the shortest delay shows the clock best. Messages that waited while
    // this host was paused would set the clock back.
    if (!isNew && (offset >= entry->second.offset || now - entry->second.at > observationLifetime))
        entry->second = { offset, now };
}

void WindowClock::setOwn(WallTime wall, Model::Time now) { m_ownOffset = wall - now.time_since_epoch(); }

void WindowClock::update(Model::Time now)
{
    std::erase_if(
        m_observations, [&](const auto& entry) { return now - entry.second.at > observationLifetime * 2; });
    std::vector<Model::Duration> offsets;
    if (m_ownOffset)
        offsets.push_back(*m_ownOffset);
    for (const auto& [host, observation] : m_observations)
        offsets.push_back(observation.offset);
    if (offsets.empty())
        return;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    m_offset = *middle;
}

Window WindowClock::windowAt(Model::Time time) const
{
    const Model::Duration wall = time.time_since_epoch() + *m_offset;
    return static_cast<Window>(std::max<std::int64_t>(wall / m_windowLength, 0));
}

Model::Time WindowClock::startOf(Window window) const
{
    return Model::Time(m_windowLength * static_cast<std::int64_t>(window) - *m_offset);
}

}
