#pragma once

#include "core/catalog/snapshot.h"
#include "core/membership/leaseobserver.h"
#include "core/quota/slotassignment.h"
#include "core/quota/slotbuckets.h"
#include "core/quota/tokencache.h"
#include "daemon/hostregistration.h"
#include "daemon/peerservice.h"
#include "daemon/slotstore.h"
#include "metrics/registry.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace Daemon {

/// Keeps the customers' rates and bursts over the whole fleet: draws tokens on the entry side, holds quota
/// slots on the holder side. Owns two threads: one draws tokens, one takes and releases slots in the store.
class QuotaService {
public:
    QuotaService(const std::string& storeAddress, Quota::Holder self, PeerService& peers,
        HostRegistration& registration, Metrics::Registry& metrics);
    ~QuotaService();
    QuotaService(const QuotaService&) = delete;
    QuotaService& operator=(const QuotaService&) = delete;

    void start();
    void stop();
    /// Gives all slots and unused tokens back. Blocks for the row changes.
    void drain();

    /// Puts the limits of a catalogue in force.
    /// `inForceFor`: how long the limits are known to have been in force on the other hosts.
    void configure(const Catalog::Snapshot& catalog, Model::Duration inForceFor);
    /// The live members have changed.
    void membersChanged();

    /// Takes one token of the customer, waiting a bounded time. Errors: `rate_limited`, `key_invalid` if the
    /// customer does not exist any more.
    Model::Result<void> admit(const std::string& customer, Model::Time deadline);
    /// Answers another host. Called on the transport's thread.
    Quota::DrawReply draw(const Quota::EntryHost& entry, const Quota::DrawRequest& request);

private:
    void runDraws();
    void sendDraws(const std::vector<Quota::OutgoingDraw>& draws);
    void handleReply(const std::string& holder, const Quota::DrawReply* reply);

    void runSlots();
    bool decideSlots(Quota::SlotAssignment::HostState state);
    void resetAfterLeaseLapse();
    void readWantedSlots();
    void updateWanted();
    void observeLeases(const Quota::SlotAssignment::Situation& situation);
    Quota::SlotAssignment::Situation situation(Quota::SlotAssignment::HostState state) const;
    /// Returns whether the change took effect.
    bool apply(const Quota::SlotChange& change);
    std::vector<std::string> liveNames() const;

    Quota::Holder m_self;
    PeerService& m_peers;
    HostRegistration& m_registration;
    Metrics::Registry& m_metrics;

    std::mutex m_mutex;
    std::condition_variable m_granted;
    std::condition_variable m_wakeDraws;
    Quota::TokenCache m_cache;
    Quota::SlotBuckets m_buckets;
    bool m_isConfigured = false;
    /// Lease generation under which the slots in `m_buckets` were taken.
    std::uint64_t m_generation = 0;
    std::map<std::string, Quota::Limits> m_limits;
    /// The live members for which the holders of the slots were computed last.
    std::vector<std::string> m_holdersFor;
    bool m_isPlanDue = false;
    bool m_isStopping = false;

    /// Used on the slot thread, and by `drain` after that thread has ended.
    SlotStore m_store;
    Quota::SlotAssignment m_assignment;
    /// The slots that this host should hold, for the live members that follow.
    std::vector<int> m_wanted;
    std::vector<std::string> m_wantedFor;
    std::map<int, SlotReading> m_rows;
    /// Slots whose row may name this host although it does not serve them; their rows are read again.
    std::set<int> m_unresolved;
    std::map<std::string, Membership::LeaseObserver> m_leaseObservers;
    std::map<std::string, Model::Time> m_leaseReadAt;
    /// Slots taken under the present lease generation; whether the lease holds is the store link's to say.
    Quota::SlotLeases m_slotLeases;
    std::condition_variable m_wakeSlots;
    bool m_isDraining = false;

    std::thread m_drawThread;
    std::thread m_slotThread;
};

}
