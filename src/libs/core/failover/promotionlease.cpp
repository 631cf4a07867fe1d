#include "core/failover/promotionlease.h"

#include <algorithm>

namespace Failover {

namespace {

    /// Two hosts that request promotions in turn within 3 s would undo each other's promotions.
    constexpr StoreTime leaseDuration { 3200 };
    /// Upstreams that never return would otherwise accumulate.
    constexpr std::size_t maxFences = 16;

}

std::optional<PromotionLease> acquireLease(
    const PromotionLease& current, std::uint64_t version, const std::string& host, StoreTime now)
{
    if (!current.holder.empty() && current.holder != host && now < current.leaseEnd)
        return std::nullopt;
    // The row's version keeps the token increasing if the row was unreadable and its token is unknown.
    return PromotionLease { std::max(current.token, version) + 1, host, now + leaseDuration, current.fences };
}

std::vector<FencedUpstream> changeFences(
    const std::vector<FencedUpstream>& current, std::uint64_t version, const FenceChange& change)
{
    std::vector<FencedUpstream> result;
    for (const FencedUpstream& fence : current) {
        const std::uint64_t since = fence.since == 0 ? version : fence.since;
        const auto replica = change.replicas.find(fence.upstream);
        const bool hasEnded = replica != change.replicas.end() && replica->second > since;
        if (!hasEnded)
            result.push_back({ fence.upstream, since });
    }
    const bool isKnown = std::ranges::find(result, change.added, &FencedUpstream::upstream) != result.end();
    if (!change.added.empty() && !isKnown)
        result.push_back({ change.added, 0 });
    // The oldest fences are of upstreams that have been gone for longest.
    if (result.size() > maxFences)
        result.erase(result.begin(), result.end() - static_cast<std::ptrdiff_t>(maxFences));
    return result;
}

}
