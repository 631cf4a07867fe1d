#include "core/proxy/connectionledger.h"

#include "core/model/rendezvous.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// Fraction of an upstream's connections that is divided evenly between the hosts.
    constexpr double baseShare = 0.75;
    /// While fewer connections than this are free for all hosts, idle ones beyond the base are closed.
    constexpr int scarceLimit = 3;

}

std::uint32_t ConnectionLedger::hashOf(const std::string& upstream)
{
    return static_cast<std::uint32_t>(Model::stableHash(upstream));
}

void ConnectionLedger::setHostCount(int count) { m_hostCount = std::max(1, count); }

void ConnectionLedger::setOpen(
    const std::string& host, std::unordered_map<std::uint32_t, int> open, Model::Time now)
{
    m_reports.insert_or_assign(host, Report { now, std::move(open) });
}

void ConnectionLedger::removeReportsBefore(Model::Time before)
{
    std::erase_if(m_reports, [&](const auto& report) { return report.second.at < before; });
}

ConnectionShare ConnectionLedger::share(const std::string& upstream, int limit) const
{
    return share(upstream, limit, m_hostCount);
}

ConnectionShare ConnectionLedger::share(const std::string& upstream, int limit, int hosts) const
{
    // Rounds down to 0 if the hosts outnumber the connections to be divided.
    const int base = hosts == 0 ? 0 : static_cast<int>(limit * baseShare / hosts);
    int extra = limit - base * hosts;
    const std::uint32_t hash = hashOf(upstream);
    for (const auto& [host, report] : m_reports) {
        const auto open = report.open.find(hash);
        if (open != report.open.end())
            extra -= std::max(0, open->second - base);
    }
    extra = std::max(0, extra);
    return { extra < scarceLimit || base == 0 ? base : base + 1, std::max(1, base + extra) };
}

}
