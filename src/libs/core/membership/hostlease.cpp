#include "core/membership/hostlease.h"

#include "core/membership/timing.h"

namespace Membership {

bool HostLease::renewalDue(Model::Time now) const
{
    if (m_superseded)
        return false;
    if (m_attemptStartedAt) {
        const Model::Duration wait = m_attemptRunning ? leaseAttemptTimeout : leaseRetryInterval;
        if (now - *m_attemptStartedAt < wait)
            return false;
    }
    return !m_renewalStartedAt || now - *m_renewalStartedAt >= leaseRenewalInterval;
}

void HostLease::renewalStarted(Model::Time now)
{
    m_attemptStartedAt = now;
    m_attemptRunning = true;
}

void HostLease::renewalFailed() { m_attemptRunning = false; }

void HostLease::renewalSucceeded(Model::Time startedAt, Model::Time now, const ContactTracker& contact)
{
    m_attemptRunning = false;
    if (m_renewalStartedAt && startedAt <= *m_renewalStartedAt)
        return;
    if (!mayServe(now, contact))
        ++m_generation;
    m_renewalStartedAt = startedAt;
}

bool HostLease::mayServe(Model::Time now, const ContactTracker& contact) const
{
    if (m_superseded || !m_renewalStartedAt)
        return false;
    if (now - *m_renewalStartedAt < leaseServiceTime)
        return true;
    const std::optional<Model::Time> until = contact.outageServiceUntil(*m_renewalStartedAt);
    return until && now < *until;
}

}
