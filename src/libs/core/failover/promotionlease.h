#pragma once

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
};

/// Returns the lease after its acquisition by `host`, or `nullopt` while another host holds it. A holder can
/// acquire its own lease again. `version` is that of the lease's row in the store, which increases with every
/// change.
std::optional<PromotionLease> acquireLease(
    const PromotionLease& current, std::uint64_t version, const std::string& host, StoreTime now);

}
