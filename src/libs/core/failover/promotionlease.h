#pragma once

#include "core/failover/termhistory.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Failover {

/// Identifies the newest holder of a promotion lease: every acquisition yields a higher token.
using FencingToken = std::uint64_t;

/// Milliseconds of the store's steady clock.
using StoreTime = std::chrono::milliseconds;

/// The exclusive right to replace the primary of a service.
struct PromotionLease {
    FencingToken token = 0;
    /// Name of the host; empty if no host has held the lease.
    std::string holder;
    /// No other host acquires the lease before this time.
    StoreTime leaseEnd {};
    /// The only upstream that may be used as the primary: empty while none may, because a promotion is under
    /// way; `nullopt` while any may.
    std::optional<std::string> primary;
    /// Of the newest one it is not known whether it has taken place.
    TermHistory promotions;
};

/// Orders the states of a service's lease: higher with each acquisition, and once more when its holder allows
/// a primary. Unlike the version of the lease's row, it does not rise if the store is restored from an older
/// copy, so that a state that was replaced before does not count as the newest again.
std::uint64_t leaseRevision(const PromotionLease& lease);
/// A lease that nobody holds, whose revision and primary are these.
PromotionLease leaseOfRevision(std::uint64_t revision, const std::optional<std::string>& primary);

/// Returns the lease after its acquisition by `host`, or `nullopt` while another host holds it. A holder can
/// acquire its own lease again. `storeVersion` is that of the store, which increases with every change of any
/// row. The primary and the promotions are those of `current`.
std::optional<PromotionLease> acquireLease(
    const PromotionLease& current, std::uint64_t storeVersion, const std::string& host, StoreTime now);

}
