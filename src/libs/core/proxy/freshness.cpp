#include "core/proxy/freshness.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// Longer than any useful staleness. A read with a longer one only requires a later position than
    /// necessary.
    constexpr Model::Duration history = std::chrono::seconds(10);
    /// Observations closer together than this are merged, which bounds the memory use.
    constexpr Model::Duration resolution = std::chrono::milliseconds(50);

}

void Freshness::observe(Model::LogPosition position, Model::Time sentAt)
{
    // Replies of different connections may arrive out of order; an older observation adds nothing.
    if (!m_observations.empty()) {
        const Observation& last = m_observations.back();
        if (sentAt <= last.sentAt || position < last.position)
            return;
        // After a promotion the log may lack positions of the previous term.
        if (position.term > last.position.term)
            m_observations.clear();
    }
    const std::size_t count = m_observations.size();
    if (count >= 2 && m_observations[count - 1].sentAt - m_observations[count - 2].sentAt < resolution)
        m_observations.back() = { sentAt, position };
    else
        m_observations.push_back({ sentAt, position });
    while (m_observations.size() > 1 && m_observations[1].sentAt <= sentAt - history)
        m_observations.pop_front();
}

std::optional<Model::LogPosition> Freshness::required(Model::Time now, Model::Duration maxStaleness) const
{
    const auto found = std::ranges::lower_bound(m_observations, now - maxStaleness, {}, &Observation::sentAt);
    if (found == m_observations.end())
        return std::nullopt;
    return found->position;
}

std::optional<Model::Time> Freshness::reachedAt(Model::LogPosition position) const
{
    const auto found = std::ranges::lower_bound(m_observations, position, {}, &Observation::position);
    if (found == m_observations.end())
        return std::nullopt;
    return found->sentAt;
}

std::optional<Model::Time> Freshness::lastObserved() const
{
    if (m_observations.empty())
        return std::nullopt;
    return m_observations.back().sentAt;
}

}
