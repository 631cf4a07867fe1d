#include "core/proxy/coldlimit.h"

#include <algorithm>
#include <cmath>

namespace Proxy {

namespace {

    constexpr Model::Duration interval = std::chrono::seconds(1);

    /// Returns the interval in which max(1, floor(`perSecond`)) statements may be sent: a second, or 1 /
    /// `perSecond` seconds for a share below 1.
    Model::Duration spanOf(double perSecond)
    {
        if (perSecond >= 1)
            return interval;
        constexpr double longest = 3600;
        const double seconds = std::min(longest, 1 / perSecond);
        return std::chrono::duration_cast<Model::Duration>(std::chrono::duration<double>(seconds));
    }

}

double ColdLimit::shareOf(double perSecond, int hosts, int rank, std::uint64_t salt)
{
    if (hosts < 1)
        return 0;
    const auto place = (static_cast<std::uint64_t>(rank) + salt) % static_cast<std::uint64_t>(hosts);
    if (perSecond < 1)
        return place == 0 ? perSecond : 0;
    const auto total = static_cast<std::uint64_t>(perSecond);
    const std::uint64_t base = total / static_cast<std::uint64_t>(hosts);
    const bool hasOneMore = place < total % static_cast<std::uint64_t>(hosts);
    return static_cast<double>(base + (hasOneMore ? 1 : 0));
}

bool ColdLimit::mayRun(double perSecond, Model::Time now) const { return nextAt(perSecond, now) <= now; }

Model::Time ColdLimit::nextAt(double perSecond, Model::Time now) const
{
    if (perSecond <= 0)
        return now + interval;
    const auto count = static_cast<std::size_t>(std::max(1.0, std::floor(perSecond)));
    if (m_sent.size() < count)
        return now;
    return std::max(now, m_sent[m_sent.size() - count] + spanOf(perSecond));
}

void ColdLimit::record(Model::Time now)
{
    m_sent.push_back(now);
    // The newest one matters longest: a share below 1 gives a distance of more than an interval.
    while (m_sent.size() > 1 && now - m_sent.front() >= interval)
        m_sent.pop_front();
}

}
