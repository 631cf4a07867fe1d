#include "core/proxy/zonechoice.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// A transaction consists of several statements, so a single one may take only a fraction of the target
    /// latency.
    constexpr double maxPartOfTarget = 0.2;
    /// The own zone serves reads well if their expected time there is at most this part of the target latency
    /// and at most `returnBusyRatio` of the statements are answered with `BUSY`. Reads then return.
    constexpr double returnPartOfTarget = 0.12;
    /// At this ratio one read in 256 is refused after four attempts.
    constexpr double maxBusyRatio = 0.25;
    constexpr double returnBusyRatio = 0.1;
    /// Reads leave the zone only if the other zone is faster by more than the largest of this time, the
    /// additional round trip, and 1 / `marginDivisor` of the expected time in the other zone.
    constexpr Model::Duration minMargin = std::chrono::milliseconds(3);
    constexpr int marginDivisor = 4;
    /// A step is smaller than the margin: it raises the time in the other zone by less than what leaving
    /// saves.
    constexpr double step = 0.05;
    /// Used where the own zone takes more than twice the time of the other one, and back if it serves well.
    constexpr double largeStep = 0.1;
    /// A short burst is over before a share of the reads has left.
    constexpr int minSlowPeriods = 3;
    /// The rest shows when the upstreams of the own zone have recovered.
    constexpr double maxShare = 0.95;

    bool isGood(const ZoneTimes& times, double partOfTarget, double busyRatio)
    {
        return times.here <= times.target * partOfTarget && times.busyHere <= busyRatio;
    }

}

ZoneChange ZoneChoice::update(const ZoneTimes& times, Model::Time now)
{
    if (!isDue(now))
        return ZoneChange::None;
    m_updatedAt = now;
    const double previous = m_share;
    const Model::Duration margin = std::max({ minMargin, times.roundTrip, times.there / marginDivisor });
    const bool isSlower = times.here > times.there + margin;
    const bool isWorthLeaving = isSlower && !isGood(times, maxPartOfTarget, maxBusyRatio);
    m_slowPeriods = isWorthLeaving ? m_slowPeriods + 1 : 0;
    if (isWorthLeaving) {
        if (m_slowPeriods < minSlowPeriods)
            return ZoneChange::None;
        const bool isMuchSlower = times.here > 2 * times.there + margin;
        m_share = std::min(maxShare, m_share + (isMuchSlower ? largeStep : step));
    } else {
        const bool isServedWell = isGood(times, returnPartOfTarget, returnBusyRatio);
        if (isServedWell || times.here < times.there + margin / 2)
            m_share = std::max(0.0, m_share - (isServedWell ? largeStep : step));
    }
    if (previous == 0 && m_share > 0)
        return ZoneChange::Left;
    return previous > 0 && m_share == 0 ? ZoneChange::Returned : ZoneChange::None;
}

}
