#pragma once

#include "core/catalog/adoption.h"
#include "core/catalog/publication.h"
#include "core/membership/gossip.h"
#include "daemon/catalogholder.h"
#include "daemon/peerservice.h"
#include "tablestore/storeclient.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Wire {
class CatalogDelta;
}

namespace Daemon {

/// Result of a publication.
struct PublishOutcome {
    std::optional<Model::Error> error;
    /// The published version, or the conflicting version; 0 if unknown.
    std::uint64_t version = 0;
};

/// Keeps this host's catalogue up to date, from peers and, as a fallback, from the store, and publishes new
/// versions. Owns a thread and a connection to the store.
class CatalogService {
public:
    /// `onAdopted` is called each time a version has come into force, without any mutex held.
    CatalogService(const std::string& storeAddress, CatalogHolder& holder, PeerService& peers,
        std::function<void()> onAdopted);
    ~CatalogService();
    CatalogService(const CatalogService&) = delete;
    CatalogService& operator=(const CatalogService&) = delete;

    void start();
    void stop();

    /// A peer announced a version; if it is newer, the thread pulls it. Does not block.
    void versionAnnounced(const Membership::VersionAnnouncement& announcement);
    /// The changes since a version, to be sent to a peer. Does not access the store.
    Wire::CatalogDelta deltaFrom(std::uint64_t version) const;

    /// Reads the current version from the store and adopts it if it is newer. Blocks for up to two accesses
    /// to the store, each limited by its time-out.
    void refresh() { pollStore(); }
    /// Publishes a checked document. Blocks until the outcome is known or the deadline has passed.
    PublishOutcome publish(
        const Catalog::PublicationRequest& request, Catalog::PublicationMode mode, Model::Time deadline);
    /// How long the first version adopted by this process is known to have been in force on other hosts.
    Model::Duration initialAge() const;
    /// Runs `use` with the adoption state under its mutex.
    void withAdoption(const std::function<void(const Catalog::Adoption&)>& use) const;

private:
    void run();
    void pollStore();
    void pullAnnounced();
    void pullFromPeers();
    bool pull(const std::string& address);
    /// Puts an adopted version in force, or logs why it was refused. Returns whether it came into force.
    bool putInForce(const Catalog::AdoptionResult& result, const char* source);
    void perform(Catalog::Publication& publication, TableStore::StoreClient& store);
    Model::Time nextPoll(Model::Time now);
    /// Requests from peers how long `version` has been in force, for `initialAge`.
    void updateInitialAge(std::uint64_t version);

    std::string m_storeAddress;
    CatalogHolder& m_holder;
    PeerService& m_peers;
    std::function<void()> m_onAdopted;
    TableStore::StoreClient m_store;
    mutable std::mutex m_mutex;
    Catalog::Adoption m_adoption;
    Model::Time m_adoptedAt;
    Model::Duration m_initialAge {};
    std::mutex m_publishMutex;
    std::mutex m_wakeMutex;
    std::condition_variable m_wake;
    std::optional<Membership::VersionAnnouncement> m_announcement;
    bool m_isStopping = false;
    std::atomic<bool> m_isStoreAvailable = true;
    std::mt19937_64 m_generator;
    std::thread m_thread;
};

}
