#include "core/failover/promotionlease.h"

#include <algorithm>

namespace Failover {

namespace {

    /// Two hosts that request promotions in turn within 3 s would undo each other's promotions.
    constexpr StoreTime leaseDuration { 3200 };

}

std::uint64_t leaseRevision(const PromotionLease& lease)
{
    const bool isFence = lease.primary && lease.primary->empty();
    return lease.token * 2 + (isFence ? 0 : 1);
}

PromotionLease leaseOfRevision(std::uint64_t revision, const std::optional<std::string>& primary)
{
    return { revision / 2, {}, {}, primary, {} };
}

std::optional<PromotionLease> acquireLease(
    const PromotionLease& current, std::uint64_t storeVersion, const std::string& host, StoreTime now)
{
    if (!current.holder.empty() && current.holder != host && now < current.leaseEnd)
        return std::nullopt;
    // The store's version keeps the token increasing if the row was unreadable, and if the store lost later
    // acquisitions because it was restored from an older copy.
    return PromotionLease { std::max(current.token, storeVersion) + 1, host, now + leaseDuration,
        current.primary, current.promotions };
}

}
