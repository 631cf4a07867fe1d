#include "proxyhost/fleet.h"

#include "eventloop/loop.h"
#include "logging/log.h"
#include "proxyhost/rows.h"
#include "wire/hostreport.pb.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace ProxyHost {

namespace {

    /// Report periods without a report from any other host after which this host counts as receiving none.
    constexpr int reportTimeoutPeriods = 4;
    /// How often the list of the hosts that count customers' operations is updated.
    constexpr Model::Duration countingHostsPeriod = std::chrono::seconds(1);

    /// Larger counts in a received report are reduced to this value, which no host reaches.
    constexpr std::uint32_t maxReportedConnections = 100000;

    /// Start of each report: the tag of its first field.
    constexpr const char* reportPrefix = "\x0a";

    /// Precedes the counts that are sent to one host, or to all if `host` is empty. The first byte starts no
    /// protobuf message, so that hosts of earlier releases discard these messages.
    std::string countsPrefix(const std::string& host) { return '\x07' + host + '\n'; }

    /// The same for messages about usage.
    std::string usagePrefix(const std::string& host) { return '\x06' + host + '\n'; }

    /// A host that shuts down sends counts of usage for longer than its row exists.
    constexpr Model::Duration departedLifetime = std::chrono::seconds(15);

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

    std::uint64_t microseconds(Model::Time time)
    {
        return static_cast<std::uint64_t>(time.time_since_epoch().count());
    }

    Model::Time timeFromWire(std::uint64_t microseconds)
    {
        return Model::Time(Model::Duration(static_cast<std::int64_t>(microseconds)));
    }

    void writeFences(const FenceReport& fences, Wire::HostReport& report)
    {
        report.set_sent_at_us(fences.sentAt ? microseconds(*fences.sentAt) : 0);
        for (const Failover::Receipt& receipt : fences.receipts) {
            Wire::ReportReceipt& entry = *report.add_receipts();
            entry.set_sender(receipt.sender);
            entry.set_incarnation(receipt.incarnation);
            entry.set_sequence(receipt.sequence);
            entry.set_received_at_us(microseconds(receipt.receivedAt));
        }
        for (const Failover::AllowedPrimary& primary : fences.primaries) {
            Wire::AllowedPrimary& entry = *report.add_allowed_primaries();
            entry.set_service(primary.service);
            entry.set_version(primary.revision);
            entry.set_upstream(primary.upstream.value_or(std::string()));
        }
    }

    FenceReport readFences(const Wire::HostReport& report)
    {
        FenceReport fences;
        if (report.sent_at_us() != 0)
            fences.sentAt = timeFromWire(report.sent_at_us());
        for (const Wire::ReportReceipt& entry : report.receipts()) {
            fences.receipts.push_back({ entry.sender(), entry.incarnation(), entry.sequence(),
                timeFromWire(entry.received_at_us()) });
        }
        for (const Wire::AllowedPrimary& entry : report.allowed_primaries())
            fences.primaries.push_back({ entry.service(), entry.version(), entry.upstream() });
        return fences;
    }

}

Fleet::Fleet(EventLoop::Loop& loop, std::string self, Allowance::FleetAllowance& allowance,
    Proxy::ConnectionLedger& ledger, Hooks hooks)
    : m_self(std::move(self))
    , m_allowance(allowance)
    , m_ledger(ledger)
    , m_hooks(std::move(hooks))
    , m_countingPlan(m_self)
    , m_bus(loop)
{
    m_bus.subscribe(reportPrefix, [this](std::string_view message) { receive(message); });
    for (const std::string& prefix : { countsPrefix(m_self), countsPrefix({}) }) {
        m_bus.subscribe(prefix, [this, length = prefix.size()](std::string_view message) {
            receiveCounts(message.substr(length));
        });
    }
    if (!m_hooks.usageReceived)
        return;
    for (const std::string& prefix : { usagePrefix(m_self), usagePrefix({}) }) {
        m_bus.subscribe(prefix, [this, length = prefix.size()](std::string_view message) {
            receiveUsage(message.substr(length));
        });
    }
}

std::optional<std::string> Fleet::listen(const std::string& ip, int firstPort, int lastPort)
{
    auto error = m_bus.listen(ip, firstPort, lastPort);
    m_address = ip + ":" + std::to_string(m_bus.port());
    return error;
}

void Fleet::hostsChanged(const std::vector<StoreRow>& rows, bool isComplete, Model::Time now)
{
    const std::map<std::string, std::string> before = m_hosts;
    if (isComplete)
        m_hosts.clear();
    for (const StoreRow& row : rows) {
        const std::string address = row.isDeleted ? std::string() : parseHostRow(row.value).address;
        if (address.empty())
            m_hosts.erase(row.key);
        else if (row.key != m_self)
            m_hosts[row.key] = address;
    }
    for (const auto& [name, address] : before) {
        if (m_hooks.usageReceived && !m_hosts.contains(name))
            m_departed.insert_or_assign(name, Departed { address, now + departedLifetime });
    }
    const std::vector<std::string> others = hostNames();
    m_allowance.setPeers(others, now);
    m_versions.retainHosts(others);
    std::erase_if(m_incarnations, [this](const auto& host) { return !m_hosts.contains(host.first); });
    connectToHosts();
}

void Fleet::connectToHosts()
{
    std::erase_if(m_departed, [this](const auto& entry) { return m_hosts.contains(entry.first); });
    std::set<std::string> addresses;
    for (const auto& [name, address] : m_hosts)
        addresses.insert(address);
    for (const auto& [name, departed] : m_departed)
        addresses.insert(departed.address);
    m_bus.setPeers(addresses);
}

void Fleet::removeDeparted(Model::Time now)
{
    if (std::erase_if(m_departed, [now](const auto& entry) { return entry.second.until < now; }) != 0)
        connectToHosts();
}

std::vector<std::string> Fleet::hostNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, address] : m_hosts)
        names.push_back(name);
    return names;
}

int Fleet::hostsWithOlderConfiguration(std::uint64_t version) const { return m_versions.olderThan(version); }

void Fleet::setIncarnation(std::uint64_t incarnation, Model::Time now)
{
    m_incarnation = incarnation;
    m_plan.started(now);
}

void Fleet::noteIncarnation(const std::string& host, std::uint64_t incarnation)
{
    std::uint64_t& known = m_incarnations[host];
    if (incarnation <= known)
        return;
    known = incarnation;
    m_plan.peerStarted();
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
    m_versions.reported(m_self, own.configuration, now);
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
    writeFences(own.fences, report);
    if (m_hooks.wallClockReported) {
        const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
        report.set_wall_clock_us(std::chrono::duration_cast<std::chrono::microseconds>(wallClock).count());
    }
    m_bus.publish(report.SerializeAsString());
}

void Fleet::sendCounts(Model::Time now)
{
    const bool isDue = !m_countsSentAt || now - *m_countsSentAt >= Allowance::countPeriod;
    if (m_incarnation == 0 || !m_plan.isRateReduced() || !isDue)
        return;
    m_countsSentAt = now;
    updateCountingHosts(now);
    std::map<std::string, Wire::CustomerCounts> messages;
    for (const Allowance::Count& count : m_allowance.takeCounts()) {
        for (const std::string& host : m_countingPlan.otherCountingHosts(count.customer)) {
            Wire::CustomerCount& entry = *messages[host].add_counts();
            entry.set_customer(count.customer);
            entry.set_admitted(count.admitted);
            entry.set_recent(count.recent);
        }
    }
    for (auto& [host, message] : messages) {
        message.set_host(m_self);
        message.set_incarnation(m_incarnation);
        m_bus.publish(countsPrefix(host) + message.SerializeAsString());
    }
    sendBalances(now);
}

void Fleet::updateCountingHosts(Model::Time now)
{
    if (m_countingHostsUpdatedAt && now - *m_countingHostsUpdatedAt < countingHostsPeriod)
        return;
    m_countingHostsUpdatedAt = now;
    m_countingPlan.setHosts(m_versions.upToDate(m_allowance.reportingHosts(now), m_plan.period(), now));
}

void Fleet::sendBalances(Model::Time now)
{
    const auto isCounted
        = [this](const std::string& customer) { return m_countingPlan.isCountingHost(m_self, customer); };
    Wire::CustomerCounts message;
    for (const Allowance::Balance& balance : m_allowance.takeBalances(isCounted, now)) {
        Wire::CustomerBalance& entry = *message.add_balances();
        entry.set_customer(balance.customer);
        entry.set_available(static_cast<float>(balance.available));
    }
    if (message.balances().empty())
        return;
    message.set_host(m_self);
    message.set_incarnation(m_incarnation);
    m_bus.publish(countsPrefix({}) + message.SerializeAsString());
}

void Fleet::receiveCounts(std::string_view message)
{
    Wire::CustomerCounts received;
    if (!received.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        Logging::write(Logging::EventId::PeerMessageMalformed);
        return;
    }
    const Model::Time now = EventLoop::now();
    std::vector<Allowance::Count> counts;
    for (const Wire::CustomerCount& entry : received.counts())
        counts.push_back({ entry.customer(), entry.admitted(), entry.recent() });
    m_allowance.receiveCounts(received.host(), received.incarnation(), counts, now);
    std::vector<Allowance::Balance> balances;
    for (const Wire::CustomerBalance& entry : received.balances()) {
        // A counting host has its own counts, which may be newer.
        const bool isCountedHere = m_countingPlan.isCountingHost(m_self, entry.customer());
        const bool isSenderCounting = m_countingPlan.isCountingHost(received.host(), entry.customer());
        if (!isCountedHere && isSenderCounting && std::isfinite(entry.available()))
            balances.push_back({ entry.customer(), entry.available() });
    }
    m_allowance.receiveBalances(received.host(), balances, now);
}

void Fleet::sendUsage(const std::string& host, const UsageMessage& message)
{
    m_bus.publish(usagePrefix(host) + formatUsageMessage(message));
}

void Fleet::receiveUsage(std::string_view message)
{
    if (const auto received = parseUsageMessage(message))
        m_hooks.usageReceived(*received, EventLoop::now());
    else
        Logging::write(Logging::EventId::PeerMessageMalformed);
}

void Fleet::receive(std::string_view message)
{
    Wire::HostReport report;
    if (!report.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        Logging::write(Logging::EventId::PeerMessageMalformed);
        return;
    }
    // A host that shuts down is connected only for its counts of usage.
    if (m_departed.contains(report.host()))
        return;
    const Model::Time now = EventLoop::now();
    if (report.host() != m_self) {
        m_lastReportAt = now;
        noteIncarnation(report.host(), report.incarnation());
    }
    if (m_hooks.wallClockReported && report.wall_clock_us() > 0)
        m_hooks.wallClockReported(report.host(), report.wall_clock_us(), now);
    if (m_hooks.fencesReported) {
        m_hooks.fencesReported(
            report.host(), report.incarnation(), report.sequence(), readFences(report), now);
    }
    Allowance::UsageReport usage { report.host(), report.incarnation(), {} };
    for (const Wire::CustomerUsage& entry : report.usage()) {
        if (std::isfinite(entry.demand()) && entry.demand() >= 0 && std::isfinite(entry.available()))
            usage.usage.push_back({ entry.customer(), entry.admitted(), entry.demand(), entry.available() });
    }
    m_allowance.receive(usage, now);
    std::unordered_map<std::uint32_t, int> open;
    for (const Wire::ConnectionUse& entry : report.connections())
        open.emplace(entry.upstream(), static_cast<int>(std::min(entry.open(), maxReportedConnections)));
    m_ledger.setOpen(report.host(), std::move(open), now);
    if (report.host() != m_self)
        m_versions.reported(report.host(), report.configuration(), now);
    m_hooks.hostReported(report.host(), report.reaches_store());
    m_hooks.changeReported(StoreTable::Operators, report.operators_version());
    m_hooks.changeReported(StoreTable::Upstreams, report.upstreams_version());
    for (const Wire::PrimaryView& entry : report.primaries()) {
        m_hooks.healthObserved(entry.service(),
            { report.host(), entry.upstream(), stateFromWire(entry.state()), entry.promoting(), now, {} });
    }
}

}
