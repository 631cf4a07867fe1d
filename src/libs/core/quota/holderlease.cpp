#include "core/quota/holderlease.h"

#include <algorithm>

namespace Quota {

// The answer counts, not the start: a renewal that took effect late does not prove that others saw it in
// time.
void HolderLease::renewed(Model::Time started, Model::Time answered)
{
    if (!covers(answered)) {
        m_slots.reset();
        m_validSince = started;
    }
    m_renewalStarted = started;
    storeSeen(answered);
}

void HolderLease::storeSeen(Model::Time at) { m_lastStoreSuccess = std::max(m_lastStoreSuccess, at); }

void HolderLease::slotTaken(int slot, Model::Time started)
{
    if (m_renewalStarted && started >= m_validSince)
        m_slots.set(static_cast<std::size_t>(slot));
}

bool HolderLease::isValid(StoreContact contact, Model::Time now) const
{
    return covers(contact == StoreContact::Outage ? m_lastStoreSuccess : now);
}

bool HolderLease::covers(Model::Time at) const
{
    return m_renewalStarted && at - *m_renewalStarted < leasePeriod - leaseMargin;
}

}
