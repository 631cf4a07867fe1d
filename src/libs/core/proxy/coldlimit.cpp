#include "core/proxy/coldlimit.h"

#include <algorithm>
#include <cmath>

namespace Proxy {

namespace {

    constexpr Model::Duration interval = std::chrono::seconds(1);

    /// Time from one statement to the one `count` statements later.
    Model::Duration spanOf(double perSecond)
    {
        if (perSecond >= 1)
            return interval;
        constexpr double longest = 3600;
        const double seconds = std::min(longest, 1 / perSecond);
        return std::chrono::duration_cast<Model::Duration>(std::chrono::duration<double>(seconds));
    }

}

bool ColdLimit::mayRun(double perSecond, Model::Time now) const { return nextAt(perSecond, now) <= now; }

Model::Time ColdLimit::nextAt(double perSecond, Model::Time now) const
{
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
