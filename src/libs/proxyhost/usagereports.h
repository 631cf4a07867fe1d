#pragma once

#include "core/usage/usagecollector.h"
#include "core/usage/usageduty.h"
#include "core/usage/windowclock.h"
#include "core/usage/windowcounts.h"
#include "metrics/registry.h"
#include "proxyhost/usageattempt.h"
#include "proxyhost/usagemessages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ProxyHost {

/// Counts the statements of customers, exchanges the counts with the other hosts, and reports each window's
/// counts to the platform if this host has to. docs/design/usage-reports.md describes the design. Performs no
/// input or output. Used on one thread.
class UsageReports {
public:
    struct Settings {
        std::string host;
        Model::Duration window {};
        /// Time after the end of a window within which its report has to arrive.
        Model::Duration due {};
    };
    struct Hooks {
        /// The other registered hosts.
        std::function<std::vector<std::string>()> registeredHosts;
        /// The hosts that report, including this one.
        std::function<std::vector<std::string>(Model::Time now)> reportingHosts;
        /// Sends a message to one host, or to all if `host` is empty.
        std::function<void(const std::string& host, const UsageMessage&)> send;
        /// Calls `acquireWindow` without blocking; `acquired` has to be called with the result.
        std::function<void(const Usage::Proposal&)> acquire;
        /// Calls `sendReport` without blocking; `answered` has to be called with the result.
        std::function<void(const UsageReport&)> report;
        /// The newest epoch of the store that this process has seen; 0 if it has seen none.
        std::function<std::uint64_t()> newestEpoch;
    };

    UsageReports(Settings settings, Metrics::Registry& metrics, Hooks hooks);

    /// This process is registered under the incarnation and knows the other hosts.
    void start(std::uint64_t incarnation, Model::Time now);
    void operationRan(const std::string& customer, Model::Time sentAt);
    /// The wall clock of another host showed `wall` when it sent a report that has just arrived.
    void wallClockReported(const std::string& host, Usage::WallTime wall, Model::Time now);
    void receive(const UsageMessage& message, Model::Time now);
    void acquired(Usage::Window window, const AcquiredWindow& acquired, Model::Time now);
    void answered(const UsageReport& report, UsageReportResult result, Model::Time now);
    /// Has to be called several times a second. `wall` is the time of this host's wall clock.
    void update(Usage::WallTime wall, Model::Time now);
    /// This host reports no further windows and collects no counts, but still sends its own.
    void shutDown() { m_isShuttingDown = true, m_duty.stop(); }
    /// Sends all counts of this host again, before the process ends.
    void sendAll(Model::Time now);

private:
    std::vector<std::string> ranking(Model::Time now) const;
    std::optional<std::uint64_t> trustedEpoch(Model::Time now) const;
    void send(const std::vector<Usage::WindowReport>& reports, Model::Time now);
    Usage::Standing standing(Usage::Window window, Model::Time now) const;
    void announce(ReportProgress progress);
    void attempt(Usage::Window window, Model::Time now);
    void failed(Usage::Window window, std::string_view reason, Model::Time now);
    void logHostsNotHeard(Usage::Window window, Model::Time now) const;

    Settings m_settings;
    Metrics::Registry& m_metrics;
    Hooks m_hooks;
    std::uint64_t m_incarnation = 0;
    std::optional<Model::Time> m_startedAt;
    std::optional<Model::Time> m_sentAt;
    bool m_isShuttingDown = false;
    /// Number of windows that are kept.
    Usage::Window m_kept;
    Usage::WindowClock m_clock;
    Usage::WindowCounts m_counts;
    Usage::UsageCollector m_collector;
    Usage::UsageDuty m_duty;
    /// A report that was acquired and not accepted yet.
    std::optional<UsageReport> m_unanswered;
};

}
