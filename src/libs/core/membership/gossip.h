#pragma once

#include "core/membership/contacttracker.h"
#include "core/membership/messages.h"
#include "core/membership/updatequeue.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// Identity of this process, as announced to its peers.
struct LocalHost {
    std::string name;
    std::string address;
    std::string zone;
    std::uint64_t incarnation = 0;
};

/// An entry of the platform's live-host list.
struct ListedHost {
    std::string name;
    std::string address;
    std::string zone;
    bool leaving = false;
};

enum class MemberEventKind : std::uint8_t {
    Joined,
    /// A newer incarnation replaced an older one, so the process of the older one has ended.
    Restarted,
    Suspected,
    /// A suspected or dead member turned out to be alive.
    Recovered,
    Leaving,
    Died,
    /// A member that is not in the live-host list was removed: it was dead for `deadRetention`, or was
    /// never confirmed by gossip.
    Removed,
    /// A newer incarnation of this host's own name exists: this process must stop serving.
    Superseded,
};

struct MemberEvent {
    MemberEventKind kind = MemberEventKind::Joined;
    std::string name;
    std::uint64_t incarnation = 0;
};

/// A catalogue version announced by a peer. The catalogue can be fetched from that peer.
struct VersionAnnouncement {
    std::string peer;
    /// Empty if the peer is not a known member.
    std::string address;
    std::uint64_t version = 0;
};

/// Result of a call to `Gossip`, to be processed by the I/O layer.
struct GossipOutput {
    std::vector<OutgoingMessage> messages;
    std::vector<MemberEvent> events;
    std::optional<VersionAnnouncement> versionAnnouncement;
};

/// The membership view of this host, docs/design.md 6.7. A failure detector with gossip in the manner of
/// SWIM (Das, Gupta and Motivala, DSN 2002): probes, indirect probes, suspicions and refutations. Performs no
/// I/O: it creates the messages to send and applies the received ones. Used under the membership mutex, which
/// also guards the contact tracker.
class Gossip {
public:
    using Generator = std::mt19937_64;

    Gossip(LocalHost self, Model::Time startedAt, ContactTracker& contact);

    /// Generates the request numbers. Two incarnations of a host must not use the same number; otherwise
    /// the newer process would accept a late acknowledgement for a message of the older one. The default
    /// counts up from the incarnation.
    std::function<std::uint64_t()> nextRequest;

    /// Peer addresses from the settings.
    void setSeeds(std::vector<std::string> addresses);
    /// Sets the platform's live-host list. Ignores an empty list: it doesn't mean that no host is live.
    GossipOutput setLiveHosts(const std::vector<ListedHost>& hosts, Model::Time now);

    /// Advances the protocol. Called at least every 100 ms.
    GossipOutput tick(Model::Time now, Generator& generator);
    /// Processes a received message. Errors: `InvalidRequest`; the state is unchanged in this case.
    Model::Result<GossipOutput> handle(const IncomingMessage& message, Model::Time now, Generator& generator);
    /// Probes a member immediately, for use when a request to it remains unanswered. Does nothing if `name`
    /// is not a live member, is this host, or is already being probed.
    GossipOutput probeNow(std::string_view name, Model::Time now, Generator& generator);
    /// Announces that this host is leaving. The host remains a member until its process ends.
    GossipOutput leave(Model::Time now, Generator& generator);

    /// All known members by name, including this host and dead members.
    const MemberMap& members() const { return m_members; }
    const Member& self() const { return m_members.find(m_name)->second; }

private:
    enum class ExchangeKind : std::uint8_t {
        Probe,
        /// A ping that only exchanges information. A missing acknowledgement has no consequences.
        Exchange,
        /// A ping on behalf of another member, which sent a `PingRequest`.
        Relay,
        /// A `PingRequest` to another member.
        IndirectProbe,
    };

    /// A request that has not been acknowledged yet.
    struct Pending {
        ExchangeKind kind = ExchangeKind::Exchange;
        /// The member to be confirmed alive; empty for a seed whose name is not known.
        std::string target;
        /// The member that received the request: the target itself unless the probe is indirect.
        std::string peer;
        Model::Time sentAt;
        /// For `Relay`: the acknowledgement to send to the requesting member.
        OutgoingMessage relayReply;
    };

    struct Probe {
        std::uint64_t incarnation = 0;
        Model::Time startedAt;
        bool indirectSent = false;
    };

    /// Cancels the running probes and extends the running suspicions by `pause`: while it was paused, this
    /// process could not receive acknowledgements and refutations.
    void compensatePause(Model::Duration pause);
    void advanceProbes(Model::Time now, Generator& generator, GossipOutput& output);
    void advanceSuspicions(Model::Time now, GossipOutput& output);
    void startDueProbe(Model::Time now, Generator& generator, GossipOutput& output);
    void exchangeWithRandomMember(Model::Time now, Generator& generator, GossipOutput& output);
    void contactSeeds(Model::Time now, Generator& generator, GossipOutput& output);
    void removeExpiredMembers(Model::Time now, GossipOutput& output);
    void removeMember(const std::string& name, GossipOutput& output);

    void sendProbe(const Member& target, Model::Time now, Generator& generator, GossipOutput& output);
    void sendIndirectProbes(
        const std::string& target, Model::Time now, Generator& generator, GossipOutput& output);
    void sendPing(const std::string& name, const std::string& address, Pending pending, Generator& generator,
        GossipOutput& output);
    void sendExchange(const std::string& name, const std::string& address, Model::Time now,
        Generator& generator, GossipOutput& output);

    Model::Result<void> check(const IncomingMessage& message, Model::Time now) const;
    void handlePing(
        const IncomingMessage& message, Model::Time now, Generator& generator, GossipOutput& output);
    void handlePingRequest(
        const IncomingMessage& message, Model::Time now, Generator& generator, GossipOutput& output);
    void handleAck(
        const IncomingMessage& message, Model::Time now, Generator& generator, GossipOutput& output);
    void confirmAlive(
        const std::string& name, std::uint64_t incarnation, Model::Time now, GossipOutput& output);

    void applyUpdate(const MemberUpdate& update, Model::Time now, GossipOutput& output);
    void applyUpdateAboutSelf(const MemberUpdate& update, GossipOutput& output);
    void changeState(Member& member, MemberState state, Model::Time now, GossipOutput& output);
    void indexState(const Member& member);
    void refute();

    Payload payloadFor(std::string_view receiver, Model::Time now, Generator& generator);
    int transmissionLimit() const;
    const std::vector<const Member*>& liveMembers();
    const Member* randomLiveMember(Generator& generator, std::string_view except = {});
    const Member* nextProbeTarget(Generator& generator);
    const Member* randomDeadMember(Generator& generator) const;
    Member* findMember(std::string_view name);

    std::string m_name;
    Model::Time m_startedAt;
    ContactTracker& m_contact;
    std::uint64_t m_lastRequest;

    MemberMap m_members;
    /// The live members without this host; rebuilt after a change.
    std::vector<const Member*> m_liveMembers;
    bool m_liveMembersValid = false;
    std::size_t m_unconfirmedCount = 0;
    std::set<std::string> m_suspects;
    std::set<std::string> m_dead;
    UpdateQueue m_updates;
    std::vector<std::string> m_seeds;

    std::map<std::uint64_t, Pending> m_pending;
    std::map<std::string, Probe, std::less<>> m_probes;
    std::vector<std::string> m_probeOrder;
    std::uint64_t m_probeCount = 0;
    std::optional<Model::Time> m_lastTick;
    Model::Time m_nextProbeAt;
    Model::Time m_nextExchangeAt;
    Model::Time m_nextSeedContactAt;
    std::size_t m_nextSeed = 0;
};

}
