#include "proxyhost/primaryguard.h"

#include "eventloop/loop.h"
#include "logging/log.h"

namespace ProxyHost {

namespace {

    /// Between two reads of the store while the reports of the other hosts do not suffice.
    constexpr Model::Duration readPeriod = std::chrono::milliseconds(400);

}

PrimaryGuard::PrimaryGuard(
    EventLoop::Loop& loop, Directory::View& view, PlatformCalls calls, std::string self, Hooks hooks)
    : m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_worker(loop, std::move(calls), m_self)
    , m_fences(view)
{
}

void PrimaryGuard::registered(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    m_sendTimes.setIncarnation(incarnation);
}

void PrimaryGuard::setHosts(const std::vector<std::string>& hosts, Model::Time now)
{
    std::vector<std::string> others;
    for (const std::string& host : hosts) {
        if (host != m_self)
            others.push_back(host);
    }
    m_permission.setHosts(others, now);
}

FenceReport PrimaryGuard::takeReport(std::uint64_t sequence, Model::Time now)
{
    m_sendTimes.sent(sequence, now);
    FenceReport report;
    if (m_hasReadStore && !m_isShuttingDown)
        report.sentAt = now;
    report.receipts = m_sendTimes.takeReceipts();
    report.primaries = m_fences.reported(now);
    return report;
}

void PrimaryGuard::receive(const std::string& host, std::uint64_t incarnation, std::uint64_t sequence,
    const FenceReport& report, Model::Time now)
{
    if (host == m_self)
        return;
    m_sendTimes.received(host, incarnation, sequence, now);
    for (const Failover::Receipt& receipt : report.receipts) {
        if (receipt.sender == m_self)
            m_sendTimes.receiptArrived(host, incarnation, receipt);
    }
    bool isAnyNew = false;
    for (const Failover::AllowedPrimary& primary : report.primaries) {
        isAnyNew |= apply(primary, now);
        m_fences.acknowledged(host, primary.service, primary.revision);
    }
    if (report.sentAt) {
        if (const auto notBefore = m_sendTimes.notSentBefore(host, incarnation, *report.sentAt))
            m_permission.contacted(host, *notBefore, now);
    }
    if (isAnyNew) {
        m_hooks.endUses();
        m_hooks.publish();
    }
}

/// Returns whether the change is new to this host.
bool PrimaryGuard::apply(const Failover::AllowedPrimary& primary, Model::Time now)
{
    if (!m_fences.apply(primary, now) || !primary.upstream)
        return false;
    Logging::write(primary.isFence() ? Logging::EventId::PrimaryFenced : Logging::EventId::PrimaryAllowed,
        { { "service", primary.service }, { "upstream", *primary.upstream },
            { "version", std::to_string(primary.revision) } });
    return true;
}

void PrimaryGuard::leaseWritten(const AcquiredLease& lease, Model::Time now)
{
    Failover::AwaitedHosts awaited { {}, lease.acquiredAt, lease.acquiredAt };
    for (const Failover::RegisteredHost& host : lease.hosts) {
        if (host.name == m_self)
            awaited.ownRegistrationAt = host.registeredAt;
        else
            awaited.hosts.push_back(host);
    }
    m_awaitedHosts[lease.service] = std::move(awaited);
    if (!apply({ lease.service, leaseRevision(lease.lease), lease.lease.primary }, now))
        return;
    m_hooks.endUses();
    m_hooks.publish();
}

bool PrimaryGuard::isFenceEffective(const std::string& service, Model::Time now)
{
    return m_fences.isEffective(service, m_awaitedHosts[service], now);
}

void PrimaryGuard::storeRestored(Model::Time now)
{
    if (m_incarnation != 0 && !m_isReadingStore)
        readStore(now);
}

void PrimaryGuard::update(Model::Time now)
{
    const bool hasPermission = m_permission.isValid(now);
    if (hasPermission != m_hadPermission) {
        m_hadPermission = hasPermission;
        Logging::write(hasPermission ? Logging::EventId::PrimaryPermissionGained
                                     : Logging::EventId::PrimaryPermissionLost);
        if (!hasPermission)
            m_hooks.endUses();
    }
    const bool isReadDue = !m_readStartedAt || now - *m_readStartedAt >= readPeriod;
    if (m_incarnation != 0 && !m_isReadingStore && isReadDue && m_permission.needsStoreRead(now))
        readStore(now);
}

void PrimaryGuard::readStore(Model::Time now)
{
    m_isReadingStore = true;
    m_readStartedAt = now;
    m_worker.readFences([this, startedAt = now](const std::optional<FenceState>& state) {
        m_isReadingStore = false;
        if (state)
            storeRead(*state, startedAt, EventLoop::now());
    });
}

/// Writes the newest allowed primaries to the store again that the store has lost. Otherwise a host that
/// starts would use previous primaries.
void PrimaryGuard::restoreLost(const FenceState& state)
{
    for (const Failover::AllowedPrimary& known : m_fences.known()) {
        StoredPrimary stored;
        for (const StoredPrimary& candidate : state.primaries) {
            if (candidate.primary.service == known.service)
                stored = candidate;
        }
        if (stored.primary.revision >= known.revision)
            continue;
        Logging::write(Logging::EventId::PrimaryRestored,
            { { "service", known.service }, { "upstream", known.upstream.value_or(std::string()) },
                { "version", std::to_string(known.revision) } });
        Failover::PromotionLease lease = Failover::leaseOfRevision(known.revision, known.upstream);
        lease.promotions = stored.promotions;
        m_worker.restoreLease(known.service, lease, stored.rowVersion);
    }
}

void PrimaryGuard::storeRead(const FenceState& state, Model::Time startedAt, Model::Time now)
{
    bool isAnyNew = false;
    for (const StoredPrimary& stored : state.primaries)
        isAnyNew |= apply(stored.primary, now);
    restoreLost(state);
    std::vector<std::string> hosts;
    for (const StoreRow& row : state.hosts)
        hosts.push_back(row.key);
    setHosts(hosts, now);
    m_hasReadStore = true;
    m_permission.storeRead(startedAt, now);
    if (isAnyNew) {
        m_hooks.endUses();
        m_hooks.publish();
    }
}

}
