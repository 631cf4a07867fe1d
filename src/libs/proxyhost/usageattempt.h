#pragma once

#include "core/usage/usageduty.h"
#include "proxyhost/store.h"

#include <cstdint>
#include <string>

namespace ProxyHost {

enum class AcquireFailure : std::uint8_t {
    None,
    StoreUnavailable,
    /// Another host holds the lease, or has written meanwhile.
    LeaseHeld,
    /// The store was restored from an older copy and may have lost a row with other counts.
    StoreRestored,
    /// The store has other counts than those that were published as final.
    CountsConflict,
    /// A row of the table cannot be read.
    RowMalformed,
};

std::string_view acquireFailureName(AcquireFailure failure);

/// The right to report a window.
struct AcquiredWindow {
    AcquireFailure failure = AcquireFailure::None;
    /// The counts are those of the window's row; valid without a failure.
    UsageReport report;
};

/// Acquires the lease for usage reports and, in the same transaction, writes the window's row unless it
/// exists. The row decides what is reported: no host sends other counts. Costs one read and one write of the
/// store if both are answered. Blocks.
AcquiredWindow acquireWindow(
    const PlatformCalls& calls, const std::string& host, const Usage::Proposal& proposal, Model::Time now);

/// Sends a report, unless another host may hold the lease by now. Blocks.
UsageReportResult sendReport(const PlatformCalls& calls, const UsageReport& report, Model::Time now);

}
