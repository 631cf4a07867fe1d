#pragma once

#include "core/usage/windowcounts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ProxyHost {

/// What a host announces to all others about the report of a window.
struct ReportProgress {
    Usage::Window window = 0;
    /// The fleet's counts as they are written in the store.
    std::optional<Usage::Counts> finalCounts;
    /// The platform has accepted a report.
    bool isReported = false;
};

/// Message between hosts about usage.
struct UsageMessage {
    std::string host;
    std::uint64_t incarnation = 0;
    /// The sender's own counts.
    std::vector<Usage::WindowReport> windows;
    std::vector<ReportProgress> progress;
};

std::string formatUsageMessage(const UsageMessage& message);
/// Returns `nullopt` if the text is malformed.
std::optional<UsageMessage> parseUsageMessage(std::string_view text);

}
