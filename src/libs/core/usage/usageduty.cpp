#include "core/usage/usageduty.h"

#include <algorithm>

namespace Usage {

namespace {

    /// Fractions of the time until a report is due. With 10 s, the first host reports after 2.5 s, when
    /// statements with the usual time limits have been answered and their counts sent twice, and each further
    /// one 2 s later.
    constexpr double firstAttempt = 0.25;
    constexpr double attemptDistance = 0.2;
    /// A host that may know too little leaves the report to others for longer.
    constexpr double partialDelay = 0.4;
    /// Leaves time for the calls and a repetition.
    constexpr double lastAttempt = 0.85;
    /// Hosts that are late for the same reason do not all start at once.
    constexpr double lateDistance = 0.02;
    /// The store's epoch is recorded for a window until this fraction of the time until its report is due. No
    /// host writes the window's row before `firstAttempt`, so a restoration before then cannot lose the row.
    /// The difference between the two fractions allows for hosts whose clocks differ.
    constexpr double epochFraction = 0.1;
    /// Longer than a lease. A restored store has lost the leases acquired since the copy was made.
    constexpr Model::Duration epochSettlingTime = std::chrono::milliseconds(3500);
    /// After a report without an answer, this host does not take the lease over from another one for this
    /// long: the platform may execute that report about 3 s late, and the same host must not hold the lease
    /// both before and after another one within 3 s.
    constexpr Model::Duration unansweredPause = std::chrono::seconds(6);
    /// Each attempt costs a call of the store.
    constexpr Model::Duration retryPause = std::chrono::milliseconds(700);
    /// A host that did not run for this long may have missed counts.
    constexpr Model::Duration pauseThreshold = std::chrono::seconds(1);

    Model::Duration fraction(Model::Duration duration, double part)
    {
        return std::chrono::duration_cast<Model::Duration>(duration * part);
    }

}

UsageDuty::UsageDuty(Model::Duration due)
    : m_due(due)
{
}

void UsageDuty::start(Model::Time now)
{
    if (m_startedAt)
        return;
    m_startedAt = now;
    m_collectingSince = now;
}

std::vector<Window> UsageDuty::update(
    const WindowClock& clock, std::optional<std::uint64_t> epoch, Model::Time now)
{
    if (m_updatedAt && now - *m_updatedAt > pauseThreshold && m_collectingSince)
        m_collectingSince = now;
    m_updatedAt = now;
    if (epoch && epoch != m_epoch) {
        m_epoch = epoch;
        m_epochSince = now;
    }
    const Window current = clock.windowAt(now);
    for (Window window = current == 0 ? 0 : current - 1; window <= current; ++window) {
        if (epoch && now < clock.endOf(window) + fraction(m_due, epochFraction))
            m_windows[window].epoch = epoch;
    }
    std::vector<Window> overdue;
    for (auto& [window, progress] : m_windows) {
        const bool isOwn = m_startedAt && *m_startedAt < clock.startOf(window);
        if (isOwn && !progress.isReported && now > clock.endOf(window) + m_due)
            overdue.push_back(window);
    }
    // An attempt in progress still refers to its window.
    std::erase_if(m_windows, [&](const auto& entry) {
        return now > clock.endOf(entry.first) + m_due && !entry.second.isInProgress;
    });
    for (const Window window : overdue) {
        if (m_windows.contains(window))
            m_windows.at(window).isReported = true;
    }
    return overdue;
}

Model::Time UsageDuty::attemptTime(Window window, const WindowClock& clock, const Standing& standing) const
{
    const int rank = *standing.rank;
    const bool isPartial = *m_collectingSince > clock.startOf(window) || !standing.hasHeardEnough;
    const double planned = firstAttempt + attemptDistance * rank + (isPartial ? partialDelay : 0);
    return clock.endOf(window) + fraction(m_due, std::min(planned, lastAttempt + lateDistance * rank));
}

std::optional<Window> UsageDuty::takeDue(
    const WindowClock& clock, const std::function<Standing(Window)>& standing, Model::Time now)
{
    if (!m_startedAt || m_isStopped)
        return std::nullopt;
    for (auto& [window, progress] : m_windows) {
        const Model::Time end = clock.endOf(window);
        // The fleet may not have run in a window that ended before this host started.
        const bool isKnown = *m_startedAt < end || progress.finalCounts;
        if (progress.isReported || progress.isInProgress || !isKnown || now > end + m_due
            || now < end + fraction(m_due, firstAttempt) || now < progress.nextAttempt.value_or(now))
            continue;
        const Standing own = standing(window);
        if (!own.rank || now < attemptTime(window, clock, own))
            continue;
        progress.isInProgress = true;
        return window;
    }
    return std::nullopt;
}

Proposal UsageDuty::propose(Window window, const Counts& counts, Model::Time now)
{
    Progress& progress = m_windows[window];
    if (!progress.proposed)
        progress.proposed = counts;
    Proposal proposal { window, progress.finalCounts.value_or(*progress.proposed) };
    proposal.isFinal = progress.finalCounts.has_value();
    proposal.epoch = progress.epoch;
    if (now - m_epochSince >= epochSettlingTime)
        proposal.settledEpoch = m_epoch;
    proposal.mayTakeOver = !m_unansweredAt || now - *m_unansweredAt >= unansweredPause;
    return proposal;
}

bool UsageDuty::setFinal(Window window, const Counts& counts)
{
    std::optional<Counts>& finalCounts = m_windows[window].finalCounts;
    if (!finalCounts)
        finalCounts = counts;
    return *finalCounts == counts;
}

void UsageDuty::attemptFailed(Window window, Model::Time now)
{
    Progress& progress = m_windows[window];
    progress.isInProgress = false;
    progress.nextAttempt = now + retryPause;
}

}
