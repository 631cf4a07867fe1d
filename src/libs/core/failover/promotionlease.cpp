#include "core/failover/promotionlease.h"

#include <algorithm>

namespace Failover {

namespace {

    /// Two hosts that order in turn within 3 s would undo one another's promotions.
    constexpr StoreTime leaseDuration { 3200 };

}

std::optional<PromotionLease> acquireLease(
    const PromotionLease& current, std::uint64_t version, const std::string& host, StoreTime now)
{
    if (!current.holder.empty() && current.holder != host && now < current.leaseEnd)
        return std::nullopt;
    // The version rises as well, should the row have been unreadable.
    return PromotionLease { std::max(current.token, version) + 1, host, now + leaseDuration };
}

}
