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

/// Enforces the customers' rates and bursts across the fleet: as an entry host, draws tokens for requests; as
/// a holder, grants tokens from its quota slots. Owns two threads: one draws tokens, the other takes and
/// releases slots in the store.
class QuotaService {
public:
    QuotaService(const std::string& storeAddress, Quota::Holder self, PeerService& peers,
        HostRegistration& registration, Metrics::Registry& metrics);
    ~QuotaService();
    QuotaService(const QuotaService&) = delete;
    QuotaService& operator=(const QuotaService&) = delete;

    void start();
    void stop();
    /// Returns unused tokens to their holders and releases all slots. Blocks until the rows are changed.
    void drain();

    /// Applies the limits of a catalogue. `inForceFor` is the time for which they are known to have been in
    /// force on other hosts.
    void configure(const Catalog::Snapshot& catalog, Model::Duration inForceFor);
    /// Recomputes the slot holders. Called after the live members may have changed.
    void membersChanged();

    /// Takes one token of the customer. Waits up to `TokenCache::maxWait`, but not beyond `deadline`. Errors:
    /// `rate_limited`; `key_invalid` if the customer no longer exists.
    Model::Result<void> admit(const std::string& customer, Model::Time deadline);
    /// Grants tokens from the slots of this host. Called on the transport's thread for other hosts, and
    /// directly for draws by this host.
    Quota::DrawReply draw(const Quota::EntryHost& entry, const Quota::DrawRequest& request);

private:
    void runDraws();
    void sendDraws(const std::vector<Quota::OutgoingDraw>& draws);
    void handleReply(const std::string& holder, const Quota::DrawReply* reply);

    void runSlots();
    /// Takes and releases slots. Returns whether there were so many changes that the next decision should
    /// follow sooner.
    bool decideSlots(Quota::SlotAssignment::HostState state);
    /// Discards all slots if the lease lapsed and was renewed since the last call.
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
    /// The live members from which the slot holders were last computed.
    std::vector<std::string> m_holdersFor;
    /// A request waits for tokens, or a reply granted too few: the draw thread does not wait for its
    /// interval.
    bool m_isPlanDue = false;
    bool m_isStopping = false;

    /// This and the members up to `m_slotLeases` are used only on the slot thread, and by `drain` after that
    /// thread has ended.
    SlotStore m_store;
    Quota::SlotAssignment m_assignment;
    /// The slots that this host should hold, computed from the live members in `m_wantedFor`.
    std::vector<int> m_wanted;
    std::vector<std::string> m_wantedFor;
    std::map<int, SlotReading> m_rows;
    /// Slots whose row may contain this host as the holder although it does not serve them; their rows are
    /// read again.
    std::set<int> m_unresolved;
    std::map<std::string, Membership::LeaseObserver> m_leaseObservers;
    std::map<std::string, Model::Time> m_leaseReadAt;
    /// Slots taken under the current lease generation. `m_registration` decides whether the lease is valid.
    Quota::SlotLeases m_slotLeases;
    std::condition_variable m_wakeSlots;
    bool m_isDraining = false;

    std::thread m_drawThread;
    std::thread m_slotThread;
};

}
