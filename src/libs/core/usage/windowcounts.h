#pragma once

#include "core/model/time.h"
#include "core/usage/window.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Usage {

/// Returns the period in which each host of a fleet of `hosts` hosts sends its counts. The counts of a killed
/// host's last period are lost: with 0.5 s and windows of 5 s, more than 5 % of a window if half of the hosts
/// are killed at once. Above `largeFleet` hosts the period is longer, to limit the rate of messages that a
/// collecting host receives.
constexpr Model::Duration sendPeriod(std::size_t hosts)
{
    constexpr std::size_t largeFleet = 300;
    return std::chrono::milliseconds(hosts > largeFleet ? 500 : 250);
}

/// Cumulative counts of one host in one window.
struct WindowReport {
    Window window = 0;
    /// All customers with a count are included, and the window is over on the sender.
    bool isComplete = false;
    Counts counts;
};

/// This host's counts of the last few windows by customer.
class WindowCounts {
public:
    explicit WindowCounts(Window kept)
        : m_kept(kept)
    {
    }

    /// Counts a statement; ignored if the window is older than those that are kept.
    void add(const std::string& customer, Window window);

    /// Returns what has to be sent: the counts that have changed since the last call and, twice after the end
    /// of a window, all of them. A host that began to collect meanwhile, or lost a message, is then complete.
    /// Windows without a statement are included after their end.
    std::vector<WindowReport> takeUnsent(Window current);
    /// Returns all counts of the kept windows, as complete. For the last message of a shutdown.
    std::vector<WindowReport> all() const;

private:
    struct Entry {
        Counts counts;
        std::set<std::string> changed;
        int completeReports = 0;
    };

    void removeOld(Window newest);

    Window m_kept;
    std::map<Window, Entry> m_windows;
    std::optional<Window> m_newest;
};

}
