#pragma once

#include "core/usage/windowclock.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Usage {

/// How well this host can report a window.
struct Standing {
    /// Position among the collecting hosts; `nullopt` if this host is none of them.
    std::optional<int> rank;
    /// At least 40 % of the other registered hosts have sent all their counts of the window to this host. If
    /// not, this host may be partitioned from the others, and another host may have more counts.
    bool hasHeardEnough = false;
};

/// What the store has to be asked to do for the report of a window.
struct Proposal {
    Window window = 0;
    /// Used if the store has no row of the window and one may be written.
    Counts counts;
    /// The counts were published after they had been written, so that they may be written again if the store
    /// has lost the row.
    bool isFinal = false;
    /// The store's epoch shortly after the end of the window. In a later epoch, the store may have lost a row
    /// with other counts, so that only final counts may be written. `nullopt` if it is unknown.
    std::optional<std::uint64_t> epoch;
    /// The epoch that the store has had for so long that leases which it may have lost have ended; `nullopt`
    /// if it was restored just before.
    std::optional<std::uint64_t> settledEpoch;
    /// Whether the lease may be acquired after another host has held it.
    bool mayTakeOver = true;
    /// Rows of earlier windows are deleted.
    Window oldestKept = 0;
};

/// Decides when this host reports a window, so that one host at a time does, and for which windows it may.
/// Two reports of a window must never differ, which the row of the window in the store ensures: see
/// docs/design/usage-reports.md.
class UsageDuty {
public:
    /// A report has to arrive within `due` after the end of its window.
    explicit UsageDuty(Model::Duration due);

    /// This host knows the other hosts and collects counts from now on.
    void start(Model::Time now);
    bool isStarted() const { return m_startedAt.has_value(); }
    /// This host reports no further windows.
    void stop() { m_isStopped = true; }
    /// Has to be called several times a second. `epoch` is the newest epoch of the store that this host has
    /// seen; `nullopt` if it has seen none, or its clock may be wrong. Returns the windows whose report is
    /// overdue without this host having learnt that one was accepted.
    std::vector<Window> update(const WindowClock& clock, std::optional<std::uint64_t> epoch, Model::Time now);
    /// The oldest window that this host should report now.
    std::optional<Window> takeDue(
        const WindowClock& clock, const std::function<Standing(Window)>& standing, Model::Time now);
    /// Returns the proposal for a window. The counts of the first one are kept: if a write that got no answer
    /// is executed late, it is the same as the later ones.
    Proposal propose(Window window, const Counts& counts, Model::Time now);
    /// A report of this host got no answer, so that the platform may execute it seconds later.
    void reportUnanswered(Model::Time now) { m_unansweredAt = now; }

    /// Counts that are final: a host has written them to the store. Returns false if other counts were
    /// final before, which must not be.
    bool setFinal(Window window, const Counts& counts);
    /// The platform has accepted a report of the window.
    void setReported(Window window) { m_windows[window].isReported = true; }
    /// The attempt to report the window failed; the next one is made later.
    void attemptFailed(Window window, Model::Time now);

private:
    struct Progress {
        bool isReported = false;
        bool isInProgress = false;
        std::optional<Model::Time> nextAttempt;
        std::optional<std::uint64_t> epoch;
        std::optional<Counts> proposed;
        std::optional<Counts> finalCounts;
    };

    Model::Time attemptTime(Window window, const WindowClock& clock, const Standing& standing) const;

    Model::Duration m_due;
    std::optional<Model::Time> m_startedAt;
    /// Since when this host has missed no message because it did not run.
    std::optional<Model::Time> m_collectingSince;
    std::optional<Model::Time> m_updatedAt;
    /// The newest epoch that this host has seen, and since when.
    std::optional<std::uint64_t> m_epoch;
    Model::Time m_epochSince;
    std::optional<Model::Time> m_unansweredAt;
    bool m_isStopped = false;
    std::map<Window, Progress> m_windows;
};

}
