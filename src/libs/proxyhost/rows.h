#pragma once

#include "core/failover/promotionlease.h"

#include <cstdint>
#include <string>

namespace ProxyHost {

/// The duty of replacing a service's primary, as it lies in the store.
struct PromotionLeaseRow {
    Failover::PromotionLease lease;
    /// Tells the holder's own write from one of the same host's earlier process.
    std::uint32_t nonce = 0;
};

std::string formatPromotionLeaseRow(const PromotionLeaseRow& row);
/// A duty that nobody holds if the row cannot be read.
PromotionLeaseRow parsePromotionLeaseRow(const std::string& value);

/// How to reach a host's process.
struct HostRow {
    /// IP:PORT for the messages of other hosts.
    std::string address;
    std::uint32_t nonce = 0;
};

std::string formatHostRow(const HostRow& row);
/// The address is empty if the row cannot be read.
HostRow parseHostRow(const std::string& value);

}
