#pragma once

#include "core/failover/promotion.h"

#include <cstdint>
#include <string>

namespace ProxyHost {

/// Who may give orders for a service.
struct DutyRow {
    Failover::FencingToken token = 0;
    std::string holder;
    /// Tells the holder's own write from one of the same host's earlier process.
    std::uint32_t nonce = 0;
};

std::string formatDutyRow(const DutyRow& row);
/// Token 0 if the row cannot be read.
DutyRow parseDutyRow(const std::string& value);

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
