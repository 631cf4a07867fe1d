#pragma once

#include "core/membership/contacttracker.h"
#include "core/membership/gossip.h"
#include "daemon/grouprequest.h"
#include "metrics/registry.h"
#include "tablestore/storeclient.h"
#include "transport/peertransport.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Wire {
class CatalogDelta;
class DrawReply;
class DrawRequest;
class ForwardReply;
class ForwardRequest;
}

namespace Daemon {

/// Callbacks for requests from peers and for membership events. They are called on the transport's thread,
/// the ones for events also on other threads, and must not block.
struct PeerHooks {
    std::function<void(const Wire::ForwardRequest&, std::function<void(Wire::ForwardReply)>)> onForward;
    std::function<Wire::DrawReply(
        const std::string& sender, std::uint64_t incarnation, const Wire::DrawRequest&)>
        onDraw;
    std::function<Wire::CatalogDelta(std::uint64_t fromVersion)> onCatalogPull;
    /// A peer announced a catalogue version. Called often, also for versions that are not newer than the one
    /// in force.
    std::function<void(const Membership::VersionAnnouncement&)> onVersionAnnounced;
    /// A host joined, left, died, recovered or changed its state in another way.
    std::function<void()> onMembersChanged;
    /// A newer incarnation with this host's name is running, so this process must end.
    std::function<void()> onSuperseded;
};

/// Communication with the other hosts: the membership protocol and requests between hosts. Owns the
/// transport, a thread for the membership protocol and the membership mutex.
class PeerService {
public:
    PeerService(const Transport::TransportSettings& transport, const std::string& zone,
        std::vector<std::string> seeds, Metrics::Registry& metrics, PeerHooks hooks);
    ~PeerService();
    PeerService(const PeerService&) = delete;
    PeerService& operator=(const PeerService&) = delete;

    /// Returns an error message on failure.
    std::optional<std::string> start();
    void stop();

    /// Updates the membership from the platform's live-host list.
    void setLiveHosts(const std::vector<TableStore::LiveHost>& hosts);
    /// Announces to the other hosts that this host accepts no new work.
    void leave();

    /// Live members sorted by name, including this host.
    std::vector<Membership::Member> liveMembers() const;
    /// All known members sorted by name, including this host and dead ones.
    std::vector<Membership::Member> allMembers() const;
    std::optional<Membership::Member> member(const std::string& name) const;
    Membership::ContactState contactState(Model::Time now) const;
    /// Calls `use` with the contact tracker under the membership mutex.
    void withContact(const std::function<void(Membership::ContactTracker&)>& use);

    /// Runs the request on another host and waits for the response. Errors: `owner_unreachable` if the
    /// request was not sent; `outcome_unknown` if it was not answered in time or the host was presumed dead.
    GroupAnswer forward(const std::string& host, const GroupRequest& request);
    /// Requests the catalogue changes since a version from a peer. Blocks up to a second. Returns
    /// `std::nullopt` if the peer does not respond.
    std::optional<Wire::CatalogDelta> pullCatalog(const std::string& address, std::uint64_t fromVersion);
    /// Sends a draw request. `onReply` is called once, with null if there is no reply: on the transport's
    /// thread, or at once on this thread if `host` is not a live member.
    void draw(const std::string& host, const Wire::DrawRequest& request, std::chrono::milliseconds timeout,
        std::function<void(const Wire::DrawReply*)> onReply);

    Transport::TransportCounts transportCounts() const { return m_transport.counts(); }

private:
    using ResponderKey = std::pair<std::string, std::uint64_t>;
    struct PendingResponder {
        Transport::Responder respond;
        Model::Time expiresAt;
    };

    void run();
    void onRequest(const Wire::Envelope& request, const Transport::Responder& respond);
    void onGossip(const Wire::Envelope& request, const Transport::Responder& respond);
    void onGossipReply(std::uint64_t request, const Wire::Envelope& reply);
    void perform(Membership::GossipOutput output);
    void sendGossip(const Membership::OutgoingMessage& message);
    void reportEvents(const std::vector<Membership::MemberEvent>& events);
    void probe(const std::string& host);
    void removeExpiredResponders(Model::Time now);
    std::optional<std::string> addressOf(const std::string& host) const;

    Metrics::Registry& m_metrics;
    PeerHooks m_hooks;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_generator;
    Membership::ContactTracker m_contact;
    Membership::Gossip m_gossip;
    std::mutex m_responderMutex;
    std::map<ResponderKey, PendingResponder> m_responders;
    Transport::PeerTransport m_transport;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

}
