#include "proxyhost/usagereports.h"

#include "core/usage/collectinghosts.h"
#include "logging/log.h"

#include <algorithm>
#include <array>

namespace ProxyHost {

namespace {

    /// For this long after its start, a host may lack the first reports of others. Until then, the collecting
    /// hosts are chosen from all registered hosts instead of those that report.
    constexpr Model::Duration firstReportsPeriod = std::chrono::seconds(4);
    /// Host names in a log entry.
    constexpr std::size_t maxLoggedHosts = 10;

    std::string_view resultName(UsageReportResult result)
    {
        static constexpr std::array<std::string_view, 4> names { "accepted", "refused", "unavailable",
            "unknown" };
        return names.at(static_cast<std::size_t>(result));
    }

}

UsageReports::UsageReports(Settings settings, Metrics::Registry& metrics, Hooks hooks)
    : m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_kept(Usage::keptWindows(m_settings.window, m_settings.due))
    , m_clock(m_settings.window)
    , m_counts(m_kept)
    , m_collector(m_kept)
    , m_duty(m_settings.due)
{
}

void UsageReports::start(std::uint64_t incarnation, Model::Time now)
{
    if (m_startedAt)
        return;
    m_incarnation = incarnation;
    m_startedAt = now;
    m_duty.start(now);
}

void UsageReports::operationRan(const std::string& customer, Model::Time sentAt)
{
    if (m_clock.isKnown())
        m_counts.add(customer, m_clock.windowAt(sentAt));
}

void UsageReports::wallClockReported(const std::string& host, Usage::WallTime wall, Model::Time now)
{
    if (host != m_settings.host)
        m_clock.observe(host, wall, now);
}

void UsageReports::receive(const UsageMessage& message, Model::Time now)
{
    if (!m_clock.isKnown())
        return;
    const Usage::Window current = m_clock.windowAt(now);
    for (const Usage::WindowReport& report : message.windows)
        m_collector.receive(message.host, message.incarnation, report, current);
    for (const ReportProgress& progress : message.progress) {
        if (progress.window + m_kept <= current || progress.window > current)
            continue;
        if (progress.finalCounts && !m_duty.setFinal(progress.window, *progress.finalCounts)) {
            Logging::write(Logging::EventId::UsageCountsConflict,
                { { "window", std::to_string(progress.window) }, { "member", message.host } });
        }
        if (progress.isReported)
            m_duty.setReported(progress.window);
    }
}

std::vector<std::string> UsageReports::ranking(Model::Time now) const
{
    std::vector<std::string> hosts = m_hooks.reportingHosts(now);
    if (now - *m_startedAt < firstReportsPeriod) {
        hosts = m_hooks.registeredHosts();
        hosts.push_back(m_settings.host);
    }
    if (m_isShuttingDown)
        std::erase(hosts, m_settings.host);
    return Usage::collectingHosts(std::move(hosts));
}

/// The epoch that the store has now; `nullopt` while this host knows too few clocks to tell which window has
/// ended, as shortly after its start.
std::optional<std::uint64_t> UsageReports::trustedEpoch(Model::Time now) const
{
    const bool isClockConfirmed = now - *m_startedAt >= firstReportsPeriod
        || m_clock.observedHosts() * 2 >= m_hooks.registeredHosts().size();
    return isClockConfirmed ? std::optional(m_hooks.newestEpoch()) : std::nullopt;
}

void UsageReports::update(Usage::WallTime wall, Model::Time now)
{
    m_clock.setOwn(wall, now);
    m_clock.update(now);
    if (!m_startedAt)
        return;
    for (const Usage::Window window : m_duty.update(m_clock, trustedEpoch(now), now)) {
        if (!Usage::rankOf(m_settings.host, ranking(now)))
            continue;
        m_metrics.counter("parsleytack_usage_reports_overdue_total").add();
        Logging::write(Logging::EventId::UsageReportOverdue, { { "window", std::to_string(window) } });
    }
    if (!m_sentAt || now - *m_sentAt >= Usage::sendPeriod(m_hooks.registeredHosts().size()))
        send(m_counts.takeUnsent(m_clock.windowAt(now)), now);
    const auto due = m_duty.takeDue(
        m_clock, [&](Usage::Window window) { return standing(window, now); }, now);
    if (due)
        attempt(*due, now);
}

void UsageReports::sendAll(Model::Time now)
{
    if (m_startedAt)
        send(m_counts.all(), now);
}

void UsageReports::send(const std::vector<Usage::WindowReport>& reports, Model::Time now)
{
    m_sentAt = now;
    if (reports.empty())
        return;
    for (const Usage::WindowReport& report : reports)
        m_collector.receive(m_settings.host, m_incarnation, report, m_clock.windowAt(now));
    for (const std::string& host : ranking(now)) {
        if (host != m_settings.host)
            m_hooks.send(host, { m_settings.host, m_incarnation, reports, {} });
    }
}

Usage::Standing UsageReports::standing(Usage::Window window, Model::Time now) const
{
    const std::vector<std::string> others = m_hooks.registeredHosts();
    // 40 %: still reached if half of the hosts were killed, but not in one partitioned zone of three.
    const auto heard = static_cast<std::size_t>(std::ranges::count_if(
        others, [&](const std::string& host) { return m_collector.isComplete(window, host); }));
    return { Usage::rankOf(m_settings.host, ranking(now)), heard * 5 >= others.size() * 2 };
}

void UsageReports::announce(ReportProgress progress)
{
    m_hooks.send({}, { m_settings.host, m_incarnation, {}, { std::move(progress) } });
}

void UsageReports::attempt(Usage::Window window, Model::Time now)
{
    const bool isAcquired = m_unanswered && m_unanswered->window == window && now < m_unanswered->sendBefore;
    if (isAcquired)
        return m_hooks.report(*m_unanswered);
    Usage::Proposal proposal = m_duty.propose(window, m_collector.total(window), now);
    proposal.oldestKept = window + 1 > m_kept ? window + 1 - m_kept : 0;
    m_hooks.acquire(proposal);
}

void UsageReports::acquired(Usage::Window window, const AcquiredWindow& acquired, Model::Time now)
{
    if (acquired.failure == AcquireFailure::None && m_duty.setFinal(window, acquired.report.counts)) {
        // Published before it is sent, so that other hosts have the counts if the store loses their row.
        announce({ window, acquired.report.counts, false });
        logHostsNotHeard(window, now);
        m_unanswered = acquired.report;
        return m_hooks.report(acquired.report);
    }
    const bool isConflict
        = acquired.failure == AcquireFailure::None || acquired.failure == AcquireFailure::CountsConflict;
    if (!isConflict)
        return failed(window, acquireFailureName(acquired.failure), now);
    Logging::write(Logging::EventId::UsageCountsConflict,
        { { "window", std::to_string(window) }, { "member", m_settings.host } });
    failed(window, acquireFailureName(AcquireFailure::CountsConflict), now);
}

void UsageReports::answered(const UsageReport& report, UsageReportResult result, Model::Time now)
{
    if (result == UsageReportResult::Accepted) {
        m_unanswered.reset();
        m_duty.setReported(report.window);
        announce({ report.window, {}, true });
        m_metrics.counter("parsleytack_usage_reports_total").add();
        Logging::write(Logging::EventId::UsageReported,
            { { "window", std::to_string(report.window) }, { "token", std::to_string(report.token) },
                { "customers", std::to_string(report.counts.size()) } });
        return;
    }
    if (result == UsageReportResult::Unknown)
        m_duty.reportUnanswered(now);
    // A host with a higher token has acted: this token must not be used again.
    if (result == UsageReportResult::Refused)
        m_unanswered.reset();
    failed(report.window, resultName(result), now);
}

void UsageReports::failed(Usage::Window window, std::string_view reason, Model::Time now)
{
    m_duty.attemptFailed(window, now);
    m_metrics.counter("parsleytack_usage_report_failures_total", "reason=\"" + std::string(reason) + "\"")
        .add();
    Logging::write(Logging::EventId::UsageReportFailed,
        { { "window", std::to_string(window) }, { "reason", std::string(reason) } });
}

void UsageReports::logHostsNotHeard(Usage::Window window, Model::Time now) const
{
    std::string names;
    std::size_t count = 0;
    for (const std::string& host : m_hooks.reportingHosts(now)) {
        if (host == m_settings.host || m_collector.isComplete(window, host))
            continue;
        if (++count <= maxLoggedHosts)
            names += (names.empty() ? "" : " ") + host;
    }
    if (count == 0)
        return;
    Logging::write(Logging::EventId::UsageHostsNotHeard,
        { { "window", std::to_string(window) }, { "count", std::to_string(count) }, { "members", names } });
}

}
