#include "proxyhost/proxyhost.h"

#include <chrono>

namespace ProxyHost {

void ProxyHost::createUsageReports(PlatformCalls calls)
{
    UsageReports::Hooks hooks;
    hooks.registeredHosts = [this] { return m_fleet.hostNames(); };
    hooks.reportingHosts = [this](Model::Time now) { return m_allowance.reportingHosts(now); };
    hooks.send
        = [this](const std::string& host, const UsageMessage& message) { m_fleet.sendUsage(host, message); };
    hooks.newestEpoch = calls.newestEpoch;
    hooks.acquire = [this](const Usage::Proposal& proposal) { acquireUsageWindow(proposal); };
    hooks.report = [this](const UsageReport& report) { sendUsageReport(report); };
    const UsageReports::Settings settings { m_settings.host, std::chrono::seconds(m_settings.usageWindowS),
        std::chrono::seconds(m_settings.usageDueS) };
    m_usage = std::make_unique<UsageReports>(settings, m_metrics, std::move(hooks));
    m_usageWorker = std::make_unique<PlatformWorker>(m_loop, std::move(calls), m_settings.host);
    // Statements may run before the first periodic check, and are counted only if the time is known.
    updateUsage(EventLoop::now());
}

void ProxyHost::acquireUsageWindow(const Usage::Proposal& proposal)
{
    m_usageWorker->call([this, proposal](const PlatformCalls& calls) {
        const AcquiredWindow result = acquireWindow(calls, m_settings.host, proposal, EventLoop::now());
        m_loop.post([this, window = proposal.window, result] {
            m_usage->acquired(window, result, EventLoop::now());
        });
    });
}

void ProxyHost::sendUsageReport(const UsageReport& report)
{
    m_usageWorker->call([this, report](const PlatformCalls& calls) {
        const UsageReportResult result = sendReport(calls, report, EventLoop::now());
        m_loop.post([this, report, result] { m_usage->answered(report, result, EventLoop::now()); });
    });
}

void ProxyHost::updateUsage(Model::Time now)
{
    if (!m_usage)
        return;
    if (m_areHostsKnown && m_fleet.incarnation() != 0)
        m_usage->start(m_fleet.incarnation(), now);
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    m_usage->update(std::chrono::duration_cast<Usage::WallTime>(wall), now);
    m_fleet.removeDeparted(now);
}

}
