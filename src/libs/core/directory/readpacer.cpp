#include "core/directory/readpacer.h"

#include <algorithm>

namespace Directory {

namespace {

    constexpr Model::Duration hostRowsStartPause = std::chrono::milliseconds(400);
    constexpr Model::Duration hostRowsPeriod = std::chrono::seconds(4);

}

ReadPacer::ReadPacer(Model::Duration period, int burst, int startBurst)
    : m_period(period)
    , m_currentPeriod(period)
    , m_tolerance(period * (burst - 1))
    , m_initialUse(period * (burst - startBurst))
{
}

ReadPacer ReadPacer::withGrowingPause(Model::Duration startPause, Model::Duration period)
{
    ReadPacer pacer(period, 1, 1);
    pacer.m_currentPeriod = startPause;
    return pacer;
}

Model::Duration ReadPacer::pauseAfterRead(Model::Time now)
{
    m_accountedUntil = std::max(m_accountedUntil.value_or(now + m_initialUse), now) + m_currentPeriod;
    m_currentPeriod = std::min(m_currentPeriod * 2, m_period);
    return std::max(Model::Duration::zero(), *m_accountedUntil - now - m_tolerance);
}

ReadPacer hostRowsPacer() { return ReadPacer::withGrowingPause(hostRowsStartPause, hostRowsPeriod); }

}
