#pragma once

#include "history.h"
#include "testcluster.h"

#include <chrono>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Soak {

/// Injects faults chosen by a seed, up to four at a time, and reverts each when its time has passed. Must be
/// used on the main thread, since a host's process ends with the thread that started it.
class Faults {
public:
    using Time = std::chrono::steady_clock::time_point;

    Faults(TestCluster& cluster, int hosts, std::uint64_t seed, History& history);

    /// Reverts the faults that have ended and starts the next one if it is due.
    void update(Time now);
    /// Reverts all faults.
    void undoAll();
    /// The injected faults in the order of their start, one line each.
    const std::vector<std::string>& log() const { return m_log; }

private:
    struct Running {
        Time end;
        std::function<void()> undo;
    };

    void startRandomFault(Time now);
    void start(const std::string& text, Time end, std::function<void()> undo);
    void startHostFault(int kind, Time end);
    void startStoreFault(int kind, Time end);
    void startDatabaseFault(int kind, Time end);
    void restartAfterTermination(int host);
    int randomBelow(int count);

    TestCluster& m_cluster;
    int m_hosts;
    History& m_history;
    std::mt19937_64 m_random;
    Time m_startedAt;
    Time m_nextFaultAt;
    std::vector<Running> m_running;
    /// Hosts that a fault has killed, paused or terminated and that are not running again.
    std::set<int> m_faultyHosts;
    std::set<int> m_crashedDatabases;
    std::vector<std::string> m_log;
};

}
