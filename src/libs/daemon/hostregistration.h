#pragma once

#include "core/membership/hostlease.h"
#include "daemon/peerservice.h"
#include "tablestore/storeclient.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace Daemon {

/// Registers this host in the store: renews its lease row, reads the platform's live-host list and updates
/// the roster. Owns a thread and a connection to the store.
class HostRegistration {
public:
    HostRegistration(
        const std::string& storeAddress, std::string host, std::uint64_t incarnation, PeerService& peers);
    ~HostRegistration();
    HostRegistration(const HostRegistration&) = delete;
    HostRegistration& operator=(const HostRegistration&) = delete;

    void start();
    void stop();

    /// Whether the quota slots taken under the current lease generation may be served at `now`.
    bool mayServeSlots(Model::Time now);
    /// Increases when the lease is renewed after it had lapsed.
    std::uint64_t leaseGeneration();

private:
    void run();
    void renewLease();
    void readLiveHosts();
    /// Reads the roster row if it may have changed, and replaces it if hosts joined or were removed.
    void updateRoster();

    std::string m_host;
    std::uint64_t m_incarnation;
    PeerService& m_peers;
    TableStore::StoreClient m_store;
    std::mutex m_leaseMutex;
    Membership::HostLease m_lease;
    std::uint64_t m_renewalCounter = 0;
    const Model::Time m_startedAt;
    Model::Time m_nextRosterRead;
    std::mutex m_stopMutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::thread m_thread;
};

}
