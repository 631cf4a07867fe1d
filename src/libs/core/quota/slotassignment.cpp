#include "core/quota/slotassignment.h"

#include "core/model/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Quota {

namespace {

    std::vector<std::string> liveNames(std::span<const KnownHost> hosts)
    {
        std::vector<std::string> names;
        for (const KnownHost& host : hosts) {
            if (host.state == KnownHost::State::Alive)
                names.push_back(host.name);
        }
        std::ranges::sort(names);
        return names;
    }

}

SlotAssignment::SlotAssignment(Holder self)
    : m_self(std::move(self))
{
}

std::vector<SlotChange> SlotAssignment::decide(const Situation& situation, const SlotLeases& leases,
    std::span<const SlotRow> rows, Model::Time now) const
{
    std::vector<SlotChange> changes;
    if (situation.contact != StoreContact::Connected)
        return changes;
    const bool hasLease = leases.isValid(situation.contact, now);
    const std::vector<std::string> live = liveNames(situation.hosts);
    std::size_t takes = 0;
    std::size_t releases = 0;
    for (const SlotRow& row : rows) {
        const bool isOwn = row.holder == m_self;
        if (situation.state == HostState::Draining) {
            if (isOwn)
                changes.push_back({ row.slot, row.epoch, SlotChange::Kind::Release });
            continue;
        }
        if (isOwn && leases.holds(row.slot) ? releases >= maxReleasesPerDecision
                                            : takes >= maxTakesPerDecision)
            continue;
        const int wanted = Model::rendezvousIndex("slot/" + std::to_string(row.slot), live);
        const bool belongsHere = wanted >= 0 && live[static_cast<std::size_t>(wanted)] == m_self.host;
        if (isOwn && !belongsHere && wanted >= 0) {
            changes.push_back({ row.slot, row.epoch, SlotChange::Kind::Release });
            ++releases;
        } else if (hasLease && belongsHere
            && (isOwn ? !leases.holds(row.slot) : mayTake(situation, row.holder))) {
            changes.push_back({ row.slot, row.epoch, SlotChange::Kind::Take });
            ++takes;
        }
    }
    return changes;
}

bool SlotAssignment::mayTake(const Situation& situation, const Holder& holder) const
{
    if (holder.host.empty())
        return true;
    // A lower incarnation belongs to a previous process of this host, which has ended.
    if (holder.host == m_self.host)
        return holder.incarnation < m_self.incarnation;
    const auto known = std::ranges::find(situation.hosts, holder.host, &KnownHost::name);
    if (known != situation.hosts.end() && known->incarnation > holder.incarnation)
        return true;
    return std::ranges::find(situation.expiredLeases, holder) != situation.expiredLeases.end();
}

}
