#pragma once

#include "core/membership/contacttracker.h"

namespace Membership {

/// The lease of this host, row `host/NAME` in the store, docs/design.md 5 and 6.9. Decides when to renew
/// it and whether this host may serve the slots that it holds. Used under the membership mutex.
class HostLease {
public:
    bool renewalDue(Model::Time now) const;
    void renewalStarted(Model::Time now);
    void renewalFailed();
    /// The renewal that started at `startedAt` is confirmed by the store. `contact` does not include
    /// this success yet.
    void renewalSucceeded(Model::Time startedAt, Model::Time now, const ContactTracker& contact);
    /// The row names a newer incarnation of this host: this process never serves slots again.
    void superseded() { m_superseded = true; }

    /// Whether the slots of the present generation may be served now. Correct after a pause as well,
    /// because it depends on the present time only.
    bool mayServe(Model::Time now, const ContactTracker& contact) const;
    /// Raised when the lease was renewed after it had lapsed: another host may have taken the slots of
    /// earlier generations. This host acquires them again by conditional update of their rows.
    std::uint64_t generation() const { return m_generation; }

private:
    std::optional<Model::Time> m_renewalStartedAt;
    std::optional<Model::Time> m_attemptStartedAt;
    bool m_attemptRunning = false;
    bool m_superseded = false;
    std::uint64_t m_generation = 0;
};

}
