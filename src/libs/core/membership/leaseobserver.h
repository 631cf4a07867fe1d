#pragma once

#include "core/membership/contacttracker.h"

namespace Membership {

/// The fields of a row `host/NAME` that change when the lease is renewed.
struct LeaseRow {
    std::uint64_t incarnation = 0;
    std::uint64_t renewalCounter = 0;

    bool operator==(const LeaseRow&) const = default;
};

/// A quota slot that this host may take over from the observed host.
struct TakeoverCandidate {
    /// Incarnation of the holder, from the slot's row.
    std::uint64_t holderIncarnation = 0;
    /// When the read of the slot's row finished. The conditional update uses the row version of this read.
    Model::Time slotReadFinishedAt;
    /// The newest incarnation of the holder's host in the membership view, 0 if unknown.
    std::uint64_t knownIncarnation = 0;
};

/// Observes the lease row of another host, docs/design.md 6.9. Used under the membership mutex.
class LeaseObserver {
public:
    /// Reports a successful read of the row.
    void observed(const LeaseRow& row, Model::Time readStartedAt, Model::Time readFinishedAt);
    /// Whether the row has been unchanged long enough to consider a takeover. The caller then has to call
    /// `ContactTracker::requestRounds`.
    bool needsContactRounds(Model::Time now) const;
    /// Whether this host may now take over the slot by conditional update of its row.
    bool takeoverAllowed(
        const TakeoverCandidate& candidate, Model::Time now, const ContactTracker& contact) const;

private:
    struct Observation {
        LeaseRow row;
        /// When the first read that returned this row finished.
        Model::Time since;
        /// When the last read that returned this row started.
        Model::Time lastReadStartedAt;
    };

    std::optional<Observation> m_observation;
};

}
