#pragma once

#include "core/membership/contactround.h"

#include <deque>
#include <string_view>

namespace Membership {

/// Whether this host may rely on the information that it last received, docs/design.md 6.8.
enum class ContactState : std::uint8_t {
    /// This host or a peer recently accessed the store.
    Connected,
    /// No recent store access is known, but a majority of the roster is in contact.
    StoreOutage,
    /// Neither holds, or a newer catalogue version has been known for too long without being in force.
    Isolated,
};

/// `connected`, `store_outage` or `isolated`.
std::string_view contactStateName(ContactState state);

enum class RosterSource : std::uint8_t {
    Store,
    Peer,
};

/// Tracks the contact of this host and its peers with the store and with one another. Owned by the I/O
/// layer, which reports this host's store accesses; `Gossip` reports those of peers. Used under the
/// membership mutex.
class ContactTracker {
public:
    explicit ContactTracker(std::string ownName);

    /// Sets the roster. From the store: `readAt` is the time at which the read started. From a peer:
    /// `readAt` is the time at which the request was sent, minus the age of the peer's newest store success.
    void setRoster(const Roster& roster, Model::Time readAt, RosterSource source);
    const Roster& roster() const { return m_rounds.roster(); }
    /// The newest roster version that is known to exist. If it is higher than the version of `roster`, the
    /// newer roster has to be fetched from a peer or the store.
    std::uint64_t newestRosterVersion() const { return m_rounds.newestRosterVersion(); }
    /// Whether the roster's row may be replaced by its next version. Requires that this host is connected
    /// and that a majority knows the current version.
    bool rosterChangeAllowed(Model::Time now) const;
    /// Reports that a store access (read or write) of this host, started at `startedAt`, succeeded.
    void storeSucceeded(Model::Time startedAt);
    /// Reports that a catalogue of this version exists.
    void catalogVersionKnown(std::uint64_t version, Model::Time now);
    /// Reports that this host applies the catalogue of this version.
    void catalogVersionInForce(std::uint64_t version);

    ContactState state(Model::Time now) const;
    /// Lower bound of the time of the newest known store success of this host or a peer. Empty if no
    /// success is known.
    std::optional<Model::Time> newestStoreSuccess() const { return m_newestSuccess; }

    /// The time until which a host may serve its slots during a store outage, if its last successful lease
    /// renewal started at `renewalStartedAt`: a majority knows of no store access by which another host
    /// could have taken over the slots. Empty if the host may not serve without a renewal.
    std::optional<Model::Time> outageServiceUntil(Model::Time renewalStartedAt) const;
    /// Whether at `time` a majority had known for at least `takeoverDelay` of a store success at or after
    /// `since`.
    bool majorityKnowsSuccess(Model::Time since, Model::Time time) const;

    /// Runs contact rounds until the given time, in addition to those during a suspected store outage.
    void requestRounds(Model::Time until);
    /// Starts a contact round if one is due. Called on each tick of `Gossip`.
    void startRoundIfNeeded(Model::Time now, std::mt19937_64& generator);
    /// Whether a round is running in which this host has not yet seen a majority.
    bool needsExchange(Model::Time now) const { return m_rounds.isRunning(now) && !m_rounds.isCompleted(); }

    /// Sets all fields of the payload except the member updates and the round report.
    void fillPayload(Payload& payload, Model::Time now) const;
    /// Sets the round report of the payload. Only for acknowledgements.
    void fillRound(Payload& payload, Model::Time now) const;
    /// Checks that the versions and the round number in the payload are not implausibly high. Called before
    /// any state changes. Errors: `InvalidRequest`.
    Model::Result<void> check(const Payload& payload) const;
    /// Merges the payload of the acknowledgement of a message that this host sent at `sentAt`.
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
