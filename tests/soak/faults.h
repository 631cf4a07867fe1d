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

/// Injects faults chosen by a seed, several at a time, and takes them back. Used on the main thread, since
/// the hosts end with the thread that started them.
class Faults {
public:
    using Time = std::chrono::steady_clock::time_point;

    Faults(TestCluster& cluster, int hosts, std::uint64_t seed, History& history);

    /// Starts and ends what is due.
    void update(Time now);
    /// Takes back all faults.
    void undoAll();
    /// What was done, a line each.
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
    /// Hosts that a signal has reached and that are not back yet.
    std::set<int> m_faultyHosts;
    std::set<int> m_crashedDatabases;
    std::vector<std::string> m_log;
};

}
