#pragma once

#include "core/membership/contacttracker.h"

namespace Membership {

/// The part of a row `host/NAME` that changes with each renewal.
struct LeaseRow {
    std::uint64_t incarnation = 0;
    std::uint64_t renewalCounter = 0;

    bool operator==(const LeaseRow&) const = default;
};

/// A slot that this host considers to take from the observed host.
struct TakeoverCandidate {
    /// Incarnation of the holder in the slot's row.
    std::uint64_t holderIncarnation = 0;
    /// When the read of the slot's row finished whose row version the conditional update names.
    Model::Time slotReadFinishedAt;
    /// The highest incarnation of the holder's name in the membership view, 0 if unknown.
    std::uint64_t knownIncarnation = 0;
};

/// Observes the lease row of another host, docs/design.md 6.9. Used under the membership mutex.
class LeaseObserver {
public:
    /// A read of the row succeeded.
    void observed(const LeaseRow& row, Model::Time readStartedAt, Model::Time readFinishedAt);
    /// Whether the row has been unchanged for so long that `ContactTracker::requestRounds` is needed.
    bool needsContactRounds(Model::Time now) const;
    /// Whether the slot may be taken now by conditional update of its row.
    bool takeoverAllowed(
        const TakeoverCandidate& candidate, Model::Time now, const ContactTracker& contact) const;

private:
    struct Observation {
        LeaseRow row;
        /// When the first read that returned this row finished.
        Model::Time since;
        /// When the last one started.
        Model::Time lastReadStartedAt;
    };

    std::optional<Observation> m_observation;
};

}
