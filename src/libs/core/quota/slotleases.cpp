#include "core/quota/slotleases.h"

#include <algorithm>

namespace Quota {

// Whether the lease has lapsed is decided by the time of the response, not of the start: a renewal that took
// effect late may not have been seen by other hosts before they took slots.
void SlotLeases::renewed(Model::Time started, Model::Time answered)
{
    if (!covers(answered)) {
        m_slots.reset();
        m_validSince = started;
    }
    m_renewalStarted = started;
    storeSucceeded(answered);
}

void SlotLeases::storeSucceeded(Model::Time at) { m_lastStoreSuccess = std::max(m_lastStoreSuccess, at); }

void SlotLeases::slotTaken(int slot, Model::Time started)
{
    if (m_renewalStarted && started >= m_validSince)
        m_slots.set(static_cast<std::size_t>(slot));
}

bool SlotLeases::isValid(StoreContact contact, Model::Time now) const
{
    return covers(contact == StoreContact::StoreOutage ? m_lastStoreSuccess : now);
}

bool SlotLeases::covers(Model::Time at) const
{
    return m_renewalStarted && at - *m_renewalStarted < leasePeriod - leaseMargin;
}

}
