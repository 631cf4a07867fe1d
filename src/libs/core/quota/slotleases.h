#pragma once

#include "core/model/time.h"
#include "core/quota/shards.h"

#include <bitset>
#include <optional>

namespace Quota {

/// Another host may take a slot once it has seen the holder's lease row unchanged for `leasePeriod`. The
/// holder stops `leaseMargin` earlier.
constexpr Model::Duration leasePeriod = std::chrono::seconds(30);
constexpr Model::Duration leaseMargin = std::chrono::seconds(5);

enum class StoreContact : std::uint8_t {
    /// Rows may be changed.
    Connected,
    /// The store is down for everybody, so nobody can take a slot.
    StoreOutage,
    Isolated,
};

/// The lease of this host and the slots that it took under it.
///
/// Slots taken under a lease that has lapsed may have been taken by others, or may still be, by a change that
/// is under way. They count again only after the host has changed their rows anew.
///
/// Not thread-safe: the caller holds a mutex.
class SlotLeases {
public:
    /// A renewal succeeded.
    void renewed(Model::Time started, Model::Time answered);
    /// The newest successful store access of any host. To be told before slots are served after a pause.
    void storeSucceeded(Model::Time at);
    /// A conditional change of the slot's row to this process, which began at `started`, took effect.
    void slotTaken(int slot, Model::Time started);
    /// The slot is to be released, or its row names another process.
    void slotLost(int slot) { m_slots.reset(static_cast<std::size_t>(slot)); }

    /// Whether the slots held may be served. In an outage nobody can take a slot, but one may have been taken
    /// before: so the lease has to have been valid when the store last answered anyone.
    bool isValid(StoreContact contact, Model::Time now) const;
    bool holds(int slot) const { return m_slots[static_cast<std::size_t>(slot)]; }
    bool mayServe(int slot, StoreContact contact, Model::Time now) const
    {
        return holds(slot) && isValid(contact, now);
    }

private:
    bool covers(Model::Time at) const;

    std::optional<Model::Time> m_renewalStarted;
    /// Start of the first renewal since the lease lapsed.
    Model::Time m_validSince;
    Model::Time m_lastStoreSuccess;
    std::bitset<slotCount> m_slots;
};

}
