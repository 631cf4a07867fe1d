#include "core/proxy/slotwindow.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// Pause after the first `Busy`; it doubles with each further one without another answer in between.
    constexpr Model::Duration firstPause = std::chrono::milliseconds(4);
    /// Limits the pause to 16 ms. Other hosts' statements usually free a slot within this time, so a longer
    /// pause would leave slots unused.
    constexpr int maxPauseDoublings = 2;
    constexpr double decreaseFactor = 0.75;
    /// Longest time since the last change that counts toward an increase. If answers arrive at least this
    /// often, the limit rises by the number of slots in a second.
    constexpr Model::Duration maxIncreaseInterval = std::chrono::milliseconds(200);

}

SlotWindow::SlotWindow(int slots)
    : m_slots(std::max(1, slots))
    , m_limit(m_slots)
{
}

void SlotWindow::setSlots(int slots)
{
    slots = std::max(1, slots);
    if (slots == m_slots)
        return;
    m_slots = slots;
    m_limit = slots;
}

bool SlotWindow::mayStart(Model::Time now) const
{
    return now >= m_pausedUntil && m_inProgress + lingering(now) < limit();
}

void SlotWindow::ended(SlotResult result, Model::Time now)
{
    m_inProgress = std::max(0, m_inProgress - 1);
    if (result == SlotResult::Busy)
        decrease(now);
    else if (result == SlotResult::Answered)
        increase(now);
}

void SlotWindow::lost(Model::Time occupiedUntil, Model::Time now)
{
    std::erase_if(m_lost, [now](Model::Time until) { return until <= now; });
    m_inProgress = std::max(0, m_inProgress - 1);
    m_lost.push_back(occupiedUntil);
}

/// The statements that are still in progress show how many slots this host can have at the same time.
void SlotWindow::decrease(Model::Time now)
{
    m_limit = std::clamp(std::min(m_limit * decreaseFactor, double(m_inProgress)), 1.0, double(m_slots));
    m_pausedUntil = now + firstPause * (1 << m_consecutiveBusy);
    m_consecutiveBusy = std::min(m_consecutiveBusy + 1, maxPauseDoublings);
    m_changedAt = now;
}

void SlotWindow::increase(Model::Time now)
{
    m_consecutiveBusy = 0;
    const Model::Duration elapsed = std::min(now - m_changedAt, maxIncreaseInterval);
    m_limit = std::min<double>(m_slots, m_limit + m_slots * std::chrono::duration<double>(elapsed).count());
    m_changedAt = now;
    std::erase_if(m_lost, [now](Model::Time until) { return until <= now; });
}

int SlotWindow::lingering(Model::Time now) const
{
    return static_cast<int>(std::ranges::count_if(m_lost, [now](Model::Time until) { return until > now; }));
}

}
