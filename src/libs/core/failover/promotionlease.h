#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Failover {

/// Proves that its owner is the newest holder of a duty: each taking gives a higher one.
using FencingToken = std::uint64_t;

/// Milliseconds of the store's steady clock.
using StoreTime = std::chrono::milliseconds;

/// Who may replace the primary of a service.
struct PromotionLease {
    FencingToken token = 0;
    /// Name of the host; empty if nobody has held the duty.
    std::string holder;
    /// Before this, no other host takes the duty.
    StoreTime leaseEnd {};
};

/// The duty after `host` has taken it, or nothing while another host's lease runs. `version` is that of the
/// duty's row, which rises with every change.
std::optional<PromotionLease> acquireLease(
    const PromotionLease& current, std::uint64_t version, const std::string& host, StoreTime now);

}
