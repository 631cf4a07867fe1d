#pragma once

#include "history.h"
#include "testcluster.h"

#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace Soak {

/// Simulated caller. Reads and writes an item that no other caller uses, through randomly chosen hosts, and
/// checks each response against the earlier ones. Runs on its own thread.
class Caller {
public:
    Caller(TestCluster& cluster, int hosts, int index, std::uint64_t seed, History& history);

    /// Opens one session after another until `isStopping` is set.
    void run(const std::atomic<bool>& isStopping);

private:
    enum class Route : std::uint8_t { Strict, Own, Bounded };

    void runSession(const std::atomic<bool>& isStopping);
    /// read(), write() and transact() run one operation and return whether the session can be used further.
    bool read();
    bool write();
    bool transact();
    /// Sends the statement whose response decides the outcome of the write of `data`: the write itself or its
    /// COMMIT. Returns whether the outcome is known.
    bool sendDecidingStatement(const std::string& text, const std::string& data);
    /// `oldestAllowed` is the number of the oldest write that the read may return; 0 if it may return
    /// any write or an empty row.
    void checkRow(const std::string& row, int oldestAllowed);
    void recordOutcome(const std::string& data, WriteOutcome outcome);
    std::string nextData();

    TestCluster& m_cluster;
    int m_hosts;
    History& m_history;
    std::mt19937_64 m_random;
    std::string m_item;
    Route m_route = Route::Strict;
    std::unique_ptr<Client> m_client;
    int m_lastNumber = 0;
    /// Numbers of the newest acknowledged write of the item, and of the newest one in the current session; 0
    /// if there is none.
    int m_acknowledged = 0;
    int m_sessionAcknowledged = 0;
    /// Writes of unknown outcome, which may still take effect.
    std::set<int> m_unknown;
    std::set<int> m_refused;
};

}
