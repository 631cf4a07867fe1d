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

/// What this process announces about itself.
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
    /// A newer incarnation replaced an older one, which proves that the older process has ended.
    Restarted,
    Suspected,
    /// A suspected or dead member turned out to be alive.
    Recovered,
    Leaving,
    Died,
    /// A dead member that the live-host list no longer names was forgotten.
    Removed,
    /// A newer incarnation of this host's own name exists: this process must stop serving.
    Superseded,
};

struct MemberEvent {
    MemberEventKind kind = MemberEventKind::Joined;
    std::string name;
    std::uint64_t incarnation = 0;
};

/// The catalogue version that a message carried, and the peer that can be asked for it.
struct VersionAnnouncement {
    std::string peer;
    std::string address;
    std::uint64_t version = 0;
};

/// What a call to `Gossip` asks the I/O layer to do.
struct GossipOutput {
    std::vector<OutgoingMessage> messages;
    std::vector<MemberEvent> events;
    std::optional<VersionAnnouncement> versionAnnouncement;
};

/// The membership view of this host, docs/design.md 6.7. Decides which messages to send and what
/// received ones change. Used under the membership mutex, which also guards the contact tracker.
class Gossip {
public:
    using Generator = std::mt19937_64;

    Gossip(LocalHost self, Model::Time startedAt, ContactTracker& contact);

    /// Source of request numbers. No two incarnations of a host may use the same one, or a late
    /// acknowledgement to the older process would count for the newer. The default counts from the
    /// incarnation.
    std::function<std::uint64_t()> nextRequest;

    /// Peer addresses from the settings.
    void setSeeds(std::vector<std::string> addresses);
    /// The platform's live-host list. An empty list states nothing and is ignored.
    GossipOutput setLiveHosts(const std::vector<ListedHost>& hosts, Model::Time now);

    /// Advances the protocol. Called at least every 100 ms.
    GossipOutput tick(Model::Time now, Generator& generator);
    /// Processes a received message. Errors: `InvalidRequest`; nothing has changed then.
    Model::Result<GossipOutput> handle(const IncomingMessage& message, Model::Time now, Generator& generator);
    /// Probes a member at once, because a request to it remains unanswered. Does nothing for a name that
    /// is not a live member or is already being probed.
    GossipOutput probeNow(std::string_view name, Model::Time now, Generator& generator);
    /// Announces that this host leaves; it stays a member until its process ends.
    GossipOutput leave(Model::Time now, Generator& generator);

    /// All known members by name, with this host, including dead ones.
    const MemberMap& members() const { return m_members; }
    const Member& self() const { return m_members.find(m_name)->second; }

private:
    enum class ExchangeKind : std::uint8_t {
        Probe,
        /// A ping whose only purpose is to exchange information: no answer means nothing.
        Exchange,
        /// A probe on behalf of another member.
        Relay,
        IndirectProbe,
    };

    /// A request whose acknowledgement is awaited.
    struct Pending {
        ExchangeKind kind = ExchangeKind::Exchange;
        /// The member that is to be proved alive; empty for a seed whose name is not known.
        std::string target;
        /// The member that was asked; the target itself unless the probe is indirect.
        std::string peer;
        Model::Time sentAt;
        /// For `Relay`: where the acknowledgement goes.
        OutgoingMessage relayReply;
    };

    struct Probe {
        std::uint64_t incarnation = 0;
        Model::Time startedAt;
        bool indirectSent = false;
    };

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
