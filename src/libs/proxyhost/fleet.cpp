#include "proxyhost/fleet.h"

#include "eventloop/loop.h"
#include "logging/log.h"
#include "proxyhost/rows.h"
#include "wire/hostreport.pb.h"

#include <set>

namespace ProxyHost {

namespace {

    /// Report periods without a report from any other host after which this host counts as receiving none.
    constexpr int reportTimeoutPeriods = 4;

    Wire::PrimaryView::State wireState(Failover::ReachabilityState state)
    {
        switch (state) {
        case Failover::ReachabilityState::Reachable:
            return Wire::PrimaryView::REACHABLE;
        case Failover::ReachabilityState::Unreachable:
            return Wire::PrimaryView::UNREACHABLE;
        case Failover::ReachabilityState::Unknown:
            break;
        }
        return Wire::PrimaryView::UNKNOWN;
    }

    Failover::ReachabilityState stateFromWire(Wire::PrimaryView::State state)
    {
        switch (state) {
        case Wire::PrimaryView::REACHABLE:
            return Failover::ReachabilityState::Reachable;
        case Wire::PrimaryView::UNREACHABLE:
            return Failover::ReachabilityState::Unreachable;
        default:
            return Failover::ReachabilityState::Unknown;
        }
    }

}

Fleet::Fleet(EventLoop::Loop& loop, std::string self, Allowance::FleetAllowance& allowance,
    Proxy::ConnectionLedger& ledger, Hooks hooks)
    : m_self(std::move(self))
    , m_allowance(allowance)
    , m_ledger(ledger)
    , m_hooks(std::move(hooks))
    , m_bus(loop, [this](std::string_view message) { receive(message); })
{
}

std::optional<std::string> Fleet::listen(const std::string& ip, int firstPort, int lastPort)
{
    auto error = m_bus.listen(ip, firstPort, lastPort);
    m_address = ip + ":" + std::to_string(m_bus.port());
    return error;
}

void Fleet::hostsChanged(const std::vector<StoreRow>& rows, bool isComplete, Model::Time now)
{
    if (isComplete)
        m_hosts.clear();
    for (const StoreRow& row : rows) {
        const std::string address = row.isDeleted ? std::string() : parseHostRow(row.value).address;
        if (address.empty())
            m_hosts.erase(row.key);
        else if (row.key != m_self)
            m_hosts[row.key] = address;
    }
    std::vector<std::string> names;
    std::set<std::string> addresses;
    for (const auto& [name, address] : m_hosts) {
        names.push_back(name);
        addresses.insert(address);
    }
    m_allowance.setPeers(names, now);
    m_bus.setPeers(addresses);
}

void Fleet::setHostCount(int count)
{
    m_plan.setHostCount(count);
    m_allowance.setReportPeriod(m_plan.period());
}

bool Fleet::isReceivingReports(Model::Time now) const
{
    return m_lastReportAt && now - *m_lastReportAt < m_plan.period() * reportTimeoutPeriods;
}

bool Fleet::isReportDue(bool isPrimarySuspected, Model::Time now) const
{
    return m_incarnation != 0 && m_plan.isDue(isPrimarySuspected, now);
}

void Fleet::publish(const OwnState& own, Model::Time now)
{
    if (m_incarnation == 0)
        return;
    Wire::HostReport report;
    report.set_host(m_self);
    report.set_incarnation(m_incarnation);
    report.set_sequence(++m_sequence);
    report.set_configuration(own.configuration);
    report.set_reaches_store(own.reachesStore);
    report.set_operators_version(own.operatorsVersion);
    report.set_upstreams_version(own.upstreamsVersion);
    for (const Allowance::Usage& usage : m_plan.takeUsage(m_allowance.usage(now), now)) {
        Wire::CustomerUsage& entry = *report.add_usage();
        entry.set_customer(usage.customer);
        entry.set_admitted(usage.admitted);
        entry.set_demand(static_cast<float>(usage.demand));
        entry.set_available(static_cast<float>(usage.available));
    }
    for (const PrimaryHealth& observation : own.healthObservations) {
        Wire::PrimaryView& entry = *report.add_primaries();
        entry.set_service(observation.service);
        entry.set_upstream(observation.upstream);
        entry.set_state(wireState(observation.state));
        entry.set_promoting(observation.isPromoting);
    }
    for (const auto& [upstream, open] : own.openConnections) {
        Wire::ConnectionUse& entry = *report.add_connections();
        entry.set_upstream(Proxy::ConnectionLedger::hashOf(upstream));
        entry.set_open(static_cast<std::uint32_t>(open));
    }
    m_bus.publish(report.SerializeAsString());
}

void Fleet::receive(std::string_view message)
{
    Wire::HostReport report;
    if (!report.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        Logging::write(Logging::EventId::PeerMessageMalformed);
        return;
    }
    const Model::Time now = EventLoop::now();
    if (report.host() != m_self)
        m_lastReportAt = now;
    Allowance::UsageReport usage { report.host(), report.incarnation(), {} };
    for (const Wire::CustomerUsage& entry : report.usage())
        usage.usage.push_back({ entry.customer(), entry.admitted(), entry.demand(), entry.available() });
    m_allowance.receive(usage, now);
    std::unordered_map<std::uint32_t, int> open;
    for (const Wire::ConnectionUse& entry : report.connections())
        open.emplace(entry.upstream(), static_cast<int>(entry.open()));
    m_ledger.setOpen(report.host(), std::move(open), now);
    m_hooks.hostReported(report.host(), report.reaches_store());
    m_hooks.changeReported(StoreTable::Operators, report.operators_version());
    m_hooks.changeReported(StoreTable::Upstreams, report.upstreams_version());
    for (const Wire::PrimaryView& entry : report.primaries()) {
        m_hooks.healthObserved(entry.service(),
            { report.host(), entry.upstream(), stateFromWire(entry.state()), entry.promoting(), now, {} });
    }
}

}
