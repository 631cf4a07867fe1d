#pragma once

#include "core/membership/contacttracker.h"

namespace Membership {

/// The lease of this host, stored in the row `host/NAME`, docs/design.md 5 and 6.9. Decides when to renew
/// it and whether this host may serve its quota slots. Used under the membership mutex.
class HostLease {
public:
    bool renewalDue(Model::Time now) const;
    void renewalStarted(Model::Time now);
    void renewalFailed();
    /// Reports that the store confirmed the renewal that started at `startedAt`. To be called before this
    /// success is reported to `contact`.
    void renewalSucceeded(Model::Time startedAt, Model::Time now, const ContactTracker& contact);
    /// Reports that the row contains a newer incarnation of this host. This process never serves slots
    /// again.
    void superseded() { m_superseded = true; }

    /// Whether the slots of the current generation may be served now. Also correct after this process was
    /// paused, because the result depends on `now` and not on a timer.
    bool mayServe(Model::Time now, const ContactTracker& contact) const;
    /// Incremented when the lease is renewed after it had lapsed. Another host may have taken over slots of
    /// earlier generations, so this host must acquire them again by conditional update of their rows.
    std::uint64_t generation() const { return m_generation; }

private:
    std::optional<Model::Time> m_renewalStartedAt;
    std::optional<Model::Time> m_attemptStartedAt;
    bool m_attemptRunning = false;
    bool m_superseded = false;
    std::uint64_t m_generation = 0;
};

}
