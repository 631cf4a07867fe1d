#pragma once

#include "history.h"
#include "testcluster.h"

#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace Soak {

/// A caller that reads and writes an item of its own through hosts chosen at random, and holds each answer
/// against what it was told before. Runs on a thread of its own.
class Caller {
public:
    Caller(TestCluster& cluster, int hosts, int index, std::uint64_t seed, History& history);

    void run(const std::atomic<bool>& isStopping);

private:
    enum class Route : std::uint8_t { Strict, Own, Bounded };

    void runSession(const std::atomic<bool>& isStopping);
    /// These return whether the session can go on.
    bool read();
    bool write();
    bool transact();
    /// Sends the statement on which the write of `data` rests.
    bool sendDecidingStatement(const std::string& text, const std::string& data);
    void checkRow(const std::string& row, int oldest);
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
    /// The newest acknowledged write of the item, and the newest of the present session; 0 for none.
    int m_acknowledged = 0;
    int m_sessionAcknowledged = 0;
    /// Writes that may take effect at any time.
    std::set<int> m_unknown;
    std::set<int> m_refused;
};

}
