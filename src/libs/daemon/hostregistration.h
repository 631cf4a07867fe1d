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

/// Renews this host's lease row and reads the platform's live-host list. Owns a thread and a connection to
/// the store.
class HostRegistration {
public:
    HostRegistration(
        const std::string& storeAddress, std::string host, std::uint64_t incarnation, PeerService& peers);
    ~HostRegistration();
    HostRegistration(const HostRegistration&) = delete;
    HostRegistration& operator=(const HostRegistration&) = delete;

    void start();
    void stop();

    /// Whether quota slots of the present lease generation may be served now.
    bool mayServeSlots(Model::Time now);
    std::uint64_t leaseGeneration();

private:
    void run();
    void renewLease();
    void readLiveHosts();
    /// Reads the roster's row when it may have changed, and replaces it when hosts came or went.
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
