#include "leasewatch.h"

namespace Quota {

void LeaseWatch::observe(const Holder& holder, std::uint64_t renewalCounter, Model::Time readStarted)
{
    const auto [found, isNew] = m_watches.try_emplace(holder.host);
    Watch& watch = found->second;
    const bool changed = watch.incarnation != holder.incarnation || watch.renewalCounter != renewalCounter;
    if (isNew || changed || readStarted - watch.last > maxObservationGap)
        watch = { holder.incarnation, renewalCounter, readStarted, readStarted };
    watch.last = readStarted;
}

void LeaseWatch::interrupt() { m_watches.clear(); }

std::vector<Holder> LeaseWatch::expired(Model::Time now) const
{
    std::vector<Holder> holders;
    for (const auto& [host, watch] : m_watches) {
        if (now - watch.last <= maxObservationGap && watch.last - watch.since >= leasePeriod)
            holders.push_back({ host, watch.incarnation });
    }
    return holders;
}

}
