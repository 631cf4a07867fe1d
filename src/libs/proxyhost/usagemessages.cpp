#include "proxyhost/usagemessages.h"

#include "wire/hostreport.pb.h"

namespace ProxyHost {

namespace {

    void writeCounts(const Usage::Counts& counts, Wire::UsageWindow& window)
    {
        for (const auto& [customer, count] : counts) {
            Wire::UsageCount& entry = *window.add_counts();
            entry.set_customer(customer);
            entry.set_statements(count);
        }
    }

    Usage::Counts readCounts(const Wire::UsageWindow& window)
    {
        Usage::Counts counts;
        for (const Wire::UsageCount& entry : window.counts())
            counts[entry.customer()] = entry.statements();
        return counts;
    }

}

std::string formatUsageMessage(const UsageMessage& message)
{
    Wire::UsageCounts wire;
    wire.set_host(message.host);
    wire.set_incarnation(message.incarnation);
    for (const Usage::WindowReport& report : message.windows) {
        Wire::UsageWindow& window = *wire.add_windows();
        window.set_window(report.window);
        window.set_complete(report.isComplete);
        writeCounts(report.counts, window);
    }
    for (const ReportProgress& progress : message.progress) {
        Wire::UsageWindow& window = *wire.add_windows();
        window.set_window(progress.window);
        window.set_final(progress.finalCounts.has_value());
        window.set_reported(progress.isReported);
        if (progress.finalCounts)
            writeCounts(*progress.finalCounts, window);
    }
    return wire.SerializeAsString();
}

std::optional<UsageMessage> parseUsageMessage(std::string_view text)
{
    Wire::UsageCounts wire;
    if (!wire.ParseFromArray(text.data(), static_cast<int>(text.size())))
        return std::nullopt;
    UsageMessage message { wire.host(), wire.incarnation(), {}, {} };
    for (const Wire::UsageWindow& window : wire.windows()) {
        if (!window.final() && !window.reported()) {
            message.windows.push_back({ window.window(), window.complete(), readCounts(window) });
            continue;
        }
        ReportProgress progress { window.window(), {}, window.reported() };
        if (window.final())
            progress.finalCounts = readCounts(window);
        message.progress.push_back(std::move(progress));
    }
    return message;
}

}
