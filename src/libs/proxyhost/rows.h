#pragma once

#include "core/failover/promotionlease.h"
#include "core/usage/window.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ProxyHost {

/// Row of a service's promotion lease in the store.
struct PromotionLeaseRow {
    Failover::PromotionLease lease;
    /// Distinguishes the holder's own write from one by an earlier process of the same host.
    std::uint32_t nonce = 0;
};

std::string formatPromotionLeaseRow(const PromotionLeaseRow& row);
/// Returns a lease without a holder if the row is malformed.
PromotionLeaseRow parsePromotionLeaseRow(const std::string& value);

/// Row of a host in the store.
struct HostRow {
    /// IP:PORT for the messages of other hosts.
    std::string address;
    /// Distinguishes the row of this process from one by an earlier process of the same host.
    std::uint32_t nonce = 0;
    /// Time of the store just before the row was written; 0 if it is unknown.
    Failover::StoreTime registeredAt {};
    std::string zone;
    /// Share of a processor that the host has, from 0 to 1.
    double processorShare = 0;
    /// IP:PORT for forwarded statements; empty if the host executes none for others.
    std::string forwardAddress;
};

std::string formatHostRow(const HostRow& row);
/// Returns a row with an empty address if `value` is malformed.
HostRow parseHostRow(const std::string& value);

/// Row of a window: the counts that are reported.
struct UsageRow {
    Usage::Counts counts;
    /// The store's epoch when the host decided to write the row.
    std::uint64_t epoch = 0;
};

std::string usageWindowKey(Usage::Window window);
/// Returns `nullopt` if the key is not that of a window.
std::optional<Usage::Window> usageWindowOfKey(const std::string& key);
std::string formatUsageRow(const UsageRow& row);
/// Returns `nullopt` if `value` is malformed.
std::optional<UsageRow> parseUsageRow(const std::string& value);

}
