#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Failover {

/// Identifies the newest holder of a promotion lease: every acquisition yields a higher token.
using FencingToken = std::uint64_t;

/// Milliseconds of the store's steady clock.
using StoreTime = std::chrono::milliseconds;

/// An upstream that must not be used as a primary, because a promotion replaces it.
struct FencedUpstream {
    std::string upstream;
    /// Version of the lease's row that first named the upstream; 0 if it is the row itself.
    std::uint64_t since = 0;

    bool operator==(const FencedUpstream&) const = default; // NOLINT(modernize-use-nullptr)
};

/// The exclusive right to replace the primary of a service.
struct PromotionLease {
    FencingToken token = 0;
    /// Name of the host; empty if no host has held the lease.
    std::string holder;
    /// No other host acquires the lease before this time.
    StoreTime leaseEnd {};
    std::vector<FencedUpstream> fences;
};

/// Changes of a service's fences with the acquisition of its lease.
struct FenceChange {
    /// Upstream to be fenced; empty for none.
    std::string added;
    /// The service's replicas, with the revision of the entry that announces the role. The fences of those
    /// that have become replicas since end.
    std::map<std::string, std::uint64_t> replicas;
};

/// Returns the fences after the change. `version` is that of the row with the `current` fences.
std::vector<FencedUpstream> changeFences(
    const std::vector<FencedUpstream>& current, std::uint64_t version, const FenceChange& change);

/// Returns the lease after its acquisition by `host`, or `nullopt` while another host holds it. A holder can
/// acquire its own lease again. `version` is that of the lease's row in the store, which increases with every
/// change. The fences are those of `current`.
std::optional<PromotionLease> acquireLease(
    const PromotionLease& current, std::uint64_t version, const std::string& host, StoreTime now);

}
