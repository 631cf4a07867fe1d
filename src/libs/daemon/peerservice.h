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

/// What peers ask of this host. All are called on the transport's thread and must not block.
struct PeerHooks {
    std::function<void(const Wire::ForwardRequest&, std::function<void(Wire::ForwardReply)>)> onForward;
    std::function<Wire::DrawReply(
        const std::string& sender, std::uint64_t incarnation, const Wire::DrawRequest&)>
        onDraw;
    std::function<Wire::CatalogDelta(std::uint64_t fromVersion)> onCatalogPull;
    /// A peer has a catalogue version; called often, also for old versions.
    std::function<void(const Membership::VersionAnnouncement&)> onVersionAnnounced;
    /// A host joined, left, died or came back.
    std::function<void()> onMembersChanged;
    /// A newer process of this host's name runs, so this one must end.
    std::function<void()> onSuperseded;
};

/// The host's contact with the others: membership, and requests between hosts. Owns the transport, a thread
/// for the membership protocol and the membership mutex.
class PeerService {
public:
    PeerService(const Transport::TransportSettings& transport, const std::string& zone,
        std::vector<std::string> seeds, Metrics::Registry& metrics, PeerHooks hooks);
    ~PeerService();
    PeerService(const PeerService&) = delete;
    PeerService& operator=(const PeerService&) = delete;

    std::optional<std::string> start();
    void stop();

    void setLiveHosts(const std::vector<TableStore::LiveHost>& hosts);
    /// Tells the others that this host takes no new work.
    void leave();

    /// Live members by name, with this host.
    std::vector<Membership::Member> liveMembers() const;
    /// All known members, with this host and dead ones.
    std::vector<Membership::Member> allMembers() const;
    std::optional<Membership::Member> member(const std::string& name) const;
    Membership::ContactState contactState(Model::Time now) const;
    /// Calls `use` with the contact tracker under the membership mutex.
    void withContact(const std::function<void(Membership::ContactTracker&)>& use);

    /// Runs the request on another host and waits for its answer. `owner_unreachable` if the request did not
    /// leave this host, `outcome_unknown` if it got no answer.
    GroupAnswer forward(const std::string& host, const GroupRequest& request);
    /// Asks a peer for the changes since a version. Blocks up to a second.
    std::optional<Wire::CatalogDelta> pullCatalog(const std::string& address, std::uint64_t fromVersion);
    /// The handler is called once, on the transport's thread, with null if there is no answer.
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
