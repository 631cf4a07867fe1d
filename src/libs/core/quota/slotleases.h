#pragma once

#include "core/model/time.h"
#include "core/quota/shards.h"

#include <bitset>
#include <optional>

namespace Quota {

/// Another host may take a slot once it has seen the holder's lease row unchanged for `leasePeriod`. The
/// holder stops serving its slots `leaseMargin` earlier.
constexpr Model::Duration leasePeriod = std::chrono::seconds(30);
constexpr Model::Duration leaseMargin = std::chrono::seconds(5);

/// Whether this host can reach the store.
enum class StoreContact : std::uint8_t {
    /// The store is reachable, so rows may be changed.
    Connected,
    /// The store is unavailable to all hosts, so no host can take a slot.
    StoreOutage,
    /// This host reaches neither the store nor a majority of the hosts, or its catalogue is outdated.
    Isolated,
};

/// The lease of this host and the slots that it has taken under the lease.
///
/// Once the lease has lapsed, other hosts may have taken its slots, or may still take them by a row change
/// that is in progress. A renewal after a lapse therefore discards all slots; each is held again only after
/// this host has changed its row once more.
///
/// Not thread-safe: the caller holds a mutex.
class SlotLeases {
public:
    /// The renewal sent at `started` was confirmed by the store at `answered`.
    void renewed(Model::Time started, Model::Time answered);
    /// `at` is the latest successful store access of any host. After a pause of this process, must be called
    /// before slots are served.
    void storeSucceeded(Model::Time at);
    /// A conditional change of the slot's row to this process, sent at `started`, took effect. Ignored if it
    /// was sent before the current lease began.
    void slotTaken(int slot, Model::Time started);
    /// The slot is about to be released, or its row names another process.
    void slotLost(int slot) { m_slots.reset(static_cast<std::size_t>(slot)); }

    /// Whether the held slots may be served. During a store outage no host can take a slot, but one may have
    /// been taken before the outage: so the lease must have been valid when the store last responded to any
    /// host.
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
