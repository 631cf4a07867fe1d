#pragma once

#include "core/failover/duty.h"

#include <cstdint>
#include <string>

namespace ProxyHost {

/// The duty of replacing a service's primary, as it lies in the store.
struct DutyRow {
    Failover::Duty duty;
    /// Tells the holder's own write from one of the same host's earlier process.
    std::uint32_t nonce = 0;
};

std::string formatDutyRow(const DutyRow& row);
/// A duty that nobody holds if the row cannot be read.
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
