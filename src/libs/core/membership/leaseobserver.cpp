#include "core/membership/leaseobserver.h"

#include "core/membership/timing.h"

#include <algorithm>

namespace Membership {

namespace {

    /// Before a takeover, a majority has to know of a store success at least this long after the first read
    /// of the row. The observed host then knows of a success that is later than its last renewal by more than
    /// `outageServiceMargin`, and stops serving.
    constexpr Model::Duration successAfterFirstRead = outageServiceMargin + evidenceTimeError;

}

void LeaseObserver::observed(const LeaseRow& row, Model::Time readStartedAt, Model::Time readFinishedAt)
{
    const bool continues = m_observation && m_observation->row == row
        && readFinishedAt - m_observation->lastReadStartedAt <= maxLeaseReadInterval;
    if (!continues)
        m_observation = { row, readFinishedAt, readStartedAt };
    m_observation->lastReadStartedAt = std::max(m_observation->lastReadStartedAt, readStartedAt);
}

bool LeaseObserver::needsContactRounds(Model::Time now) const
{
    return m_observation && now - m_observation->since >= successAfterFirstRead
        && now - m_observation->lastReadStartedAt <= maxLeaseReadInterval;
}

bool LeaseObserver::takeoverAllowed(
    const TakeoverCandidate& candidate, Model::Time now, const ContactTracker& contact) const
{
    if (contact.state(now) != ContactState::Connected)
        return false;
    const std::uint64_t newest
        = std::max(candidate.knownIncarnation, m_observation ? m_observation->row.incarnation : 0);
    if (newest > candidate.holderIncarnation)
        return true;
    if (!m_observation || now - m_observation->lastReadStartedAt > maxLeaseReadInterval)
        return false;
    // The lease must be read after the slot's row: if the holder renewed its lease and acquired the slot
    // again in between, one of the two rows has changed.
    if (m_observation->lastReadStartedAt < candidate.slotReadFinishedAt)
        return false;
    // The majority must have known at the time of the last read, not now: a holder that renewed its lease
    // after that read while it was still entitled to serve keeps its slots.
    return m_observation->lastReadStartedAt - m_observation->since >= leaseObservationTime
        && contact.majorityKnowsSuccess(
            m_observation->since + successAfterFirstRead, m_observation->lastReadStartedAt);
}

}
