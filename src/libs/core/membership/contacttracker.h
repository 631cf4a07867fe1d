#pragma once

#include "core/membership/contactround.h"

#include <deque>
#include <string_view>

namespace Membership {

/// Whether this host may rely on the information that it last received, docs/design.md 6.8.
enum class ContactState : std::uint8_t {
    Connected,
    StoreOutage,
    Isolated,
};

std::string_view contactStateName(ContactState state);

enum class RosterSource : std::uint8_t {
    Store,
    Peer,
};

/// What this host knows about the fleet's contact with the store. Owned by the I/O layer, which reports
/// its own store accesses; `Gossip` reports what peers know. Used under the membership mutex.
class ContactTracker {
public:
    explicit ContactTracker(std::string ownName);

    /// The roster as read from the store by a read that started at `readAt`, or as received from a peer:
    /// then `readAt` is the time at which the peer was asked less the age of its newest store success.
    void setRoster(const Roster& roster, Model::Time readAt, RosterSource source);
    const Roster& roster() const { return m_rounds.roster(); }
    /// Higher than the version of `roster` if this host has to ask a peer or the store for a newer one.
    std::uint64_t newestRosterVersion() const { return m_rounds.newestRosterVersion(); }
    /// Whether the roster's row may be replaced by its next version: a majority knows the present one.
    bool rosterChangeAllowed(Model::Time now) const;
    /// A read or write of the store by this host succeeded that started at `startedAt`.
    void storeSucceeded(Model::Time startedAt);
    void catalogVersionKnown(std::uint64_t version, Model::Time now);
    void catalogVersionInForce(std::uint64_t version);

    ContactState state(Model::Time now) const;
    /// The newest store success that is known, of this host or of a peer; a lower bound of its time.
    std::optional<Model::Time> newestStoreSuccess() const { return m_newestSuccess; }

    /// Until when a host whose last successful lease renewal started at `renewalStartedAt` may serve its
    /// slots without a renewal, because a majority knows of no store access with which another host
    /// could have taken them. Nothing if it may not.
    std::optional<Model::Time> outageServiceUntil(Model::Time renewalStartedAt) const;
    /// Whether a majority had known for `takeoverDelay` at `time` of a store success not older than `since`.
    bool majorityKnowsSuccess(Model::Time since, Model::Time time) const;

    /// Keeps contact rounds going until the given time, beside the ones during doubt about the store.
    void requestRounds(Model::Time until);
    /// Starts a contact round if one is due. Called on each tick of `Gossip`.
    void startRoundIfNeeded(Model::Time now, std::mt19937_64& generator);
    /// Whether a round is running that this host has not seen a majority in.
    bool needsExchange(Model::Time now) const { return m_rounds.isRunning(now) && !m_rounds.isCompleted(); }

    /// Fills the fields of a message that concern the catalogue, the roster and the store.
    void fillPayload(Payload& payload, Model::Time now) const;
    void fillRound(Payload& payload, Model::Time now) const;
    /// Whether the peer's statements are plausible; called before any change. Errors: `InvalidRequest`.
    Model::Result<void> check(const Payload& payload) const;
    /// Merges what a peer stated in an acknowledgement of a message that was sent at `sentAt`.
    void merge(const Payload& payload, Model::Time sentAt, Model::Time now);
    std::uint64_t roundId() const { return m_rounds.id(); }

private:
    struct KnownVersion {
        std::uint64_t version = 0;
        Model::Time knownSince;
    };

    void recordStoreSuccess(Model::Time time);
    bool isCatalogOverdue(Model::Time now) const;
    bool isMajorityPresent(Model::Time now) const;

    ContactRounds m_rounds;
    std::optional<Model::Time> m_newestSuccess;
    std::uint64_t m_versionInForce = 0;
    /// Versions newer than the one in force, in ascending order.
    std::deque<KnownVersion> m_newerVersions;
    Model::Time m_roundsRequestedUntil;
};

}
