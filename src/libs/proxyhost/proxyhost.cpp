#include "proxyhost/proxyhost.h"

#include "core/model/rendezvous.h"
#include "logging/log.h"
#include "proxyhost/rows.h"

#include <algorithm>
#include <random>
#include <utility>

namespace ProxyHost {

namespace {

    /// The load balancer sends no more callers to this host after two failed probes, one second apart.
    constexpr Model::Duration balancerDelay = std::chrono::milliseconds(2300);
    constexpr Model::Duration shutdownCheckPeriod = std::chrono::milliseconds(100);
    /// File descriptors that are not available to callers: for files, upstreams, the store and the other
    /// hosts.
    constexpr int reservedDescriptors = 600;
    /// How often primaries, host rows, missed changes and due reports are checked.
    constexpr Model::Duration checkPeriod = std::chrono::milliseconds(100);
    /// A host that has sent no report for so many periods is assumed to hold no connections.
    constexpr int reportLifetimePeriods = 10;
    /// Upstream entries that are removed this soon after an outage of the store may have expired during it.
    constexpr Model::Duration storeRecoveryWindow = std::chrono::milliseconds(2500);
    /// Fractions of the time that a shutdown may take: transactions are rolled back after the first, all
    /// statements are answered after the second, and the process ends after the last.
    constexpr double rollbackFraction = 0.5;
    constexpr double lastAnswerFraction = 0.85;
    constexpr double exitFraction = 0.95;
    /// Time for the last counts of usage to be sent.
    constexpr Model::Duration lastUsageDelay = std::chrono::milliseconds(150);
    constexpr std::size_t bytesPerKb = 1024;

    Model::Duration fractionOf(Model::Duration duration, double fraction)
    {
        return std::chrono::duration_cast<Model::Duration>(duration * fraction);
    }

    std::string milliseconds(Model::Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

}

ProxyHost::ProxyHost(EventLoop::Loop& loop, const Settings::ProxySettings& settings,
    SessionServer::Codec codec, const std::function<PlatformCalls()>& calls)
    : m_loop(loop)
    , m_settings(settings)
    , m_allowance(settings.host)
    , m_server(loop, m_view, std::move(codec), m_metrics,
          { settings.zone, settings.callers.ip, settings.callers.port,
              static_cast<std::size_t>(settings.maxDescriptors - reservedDescriptors),
              { settings.scheduleStatements, settings.balanceUpstreams, settings.forwardStatements,
                  settings.sessionValuesKb * bytesPerKb },
              { settings.effectiveClientMemoryMb() * bytesPerKb * bytesPerKb,
                  settings.pipelinedKb * bytesPerKb, std::chrono::milliseconds(settings.messageTimeoutMs) } },
          serverHooks())
    , m_forwarding(settings.forwardStatements ? std::make_unique<StatementForwarding>(loop, settings.host,
                       settings.zone, m_server, [this] { return m_view.configuration() && m_hasUpstreams; })
                                              : nullptr)
    , m_fleet(loop, settings.host, m_allowance, m_server.engine().ledger(), fleetHooks())
    , m_worker(loop, calls(), settings.host)
    , m_guard(settings.promoterChecksFencing
              ? nullptr
              : std::make_unique<PrimaryGuard>(loop, m_view, calls(), settings.host,
                  PrimaryGuard::Hooks { [this] { m_server.endDisallowedUses(); }, [this] { publish(); } }))
    , m_failovers(loop, m_view, m_server, m_worker, settings.host, failoverHooks())
    , m_checkTimer(loop, [this] { runPeriodicChecks(); })
    , m_probe({ settings.probe.ip, settings.probe.port, settings.probePath }, m_metrics)
    , m_shutdownTimer(loop, [this] { continueShutdown(); })
    , m_staleHostRows(settings.host, std::chrono::seconds(settings.forgetHostsAfterS))
{
    if (settings.usageWindowS != 0)
        createUsageReports(calls());
}

SessionServer::ServerHooks ProxyHost::serverHooks()
{
    SessionServer::ServerHooks hooks;
    hooks.admit = [this](const Directory::Customer& customer, Model::Time now) {
        return m_allowance.admit(customer, now);
    };
    hooks.admitAgain = [this](const Directory::Customer& customer, Model::Time now) {
        return m_allowance.admitAgain(customer, now);
    };
    hooks.demanded = [this](const Directory::Customer& customer, Model::Time now) {
        m_allowance.demanded(customer, now);
    };
    hooks.admissionWait = [this](const Directory::Customer& customer, std::size_t ahead, Model::Time now) {
        return m_allowance.admissionWait(customer, ahead, now);
    };
    hooks.explainLimit
        = [this](const Directory::Customer& customer) { return m_allowance.describe(customer.name); };
    if (!m_settings.promoterChecksFencing)
        hooks.mayUsePrimaries = [this](Model::Time now) { return m_guard->mayUsePrimaries(now); };
    if (m_settings.forwardStatements)
        StatementForwarding::addHooks(hooks, [this]() -> StatementForwarding& { return *m_forwarding; });
    if (m_settings.usageWindowS != 0) {
        hooks.operationRan = [this](const std::string& customer, Model::Time sentAt) {
            m_usage->operationRan(customer, sentAt);
        };
    }
    return hooks;
}

Fleet::Hooks ProxyHost::fleetHooks()
{
    Fleet::Hooks hooks;
    hooks.healthObserved = [this](const std::string& service, Failover::HealthObservation observation) {
        m_failovers.setHealthObservation(service, std::move(observation));
    };
    hooks.hostReported = [this](const std::string& host, bool canPromote) {
        m_staleHostRows.reportReceived(host, EventLoop::now());
        m_failovers.setHost(host, canPromote);
    };
    hooks.changeReported = [this](StoreTable table, std::uint64_t version) {
        m_missedChanges[table].reportedByPeer(version, EventLoop::now());
    };
    if (m_settings.usageWindowS != 0) {
        hooks.usageReceived
            = [this](const UsageMessage& message, Model::Time now) { m_usage->receive(message, now); };
        hooks.wallClockReported = [this](const std::string& host, std::int64_t wallClock, Model::Time now) {
            m_usage->wallClockReported(host, Usage::WallTime(wallClock), now);
        };
    }
    if (!m_settings.promoterChecksFencing) {
        hooks.fencesReported = [this](const std::string& host, std::uint64_t incarnation,
                                   std::uint64_t sequence, const FenceReport& fences, Model::Time now) {
            m_guard->receive(host, incarnation, sequence, fences, now);
        };
    }
    return hooks;
}

Failovers::Hooks ProxyHost::failoverHooks()
{
    Failovers::Hooks hooks;
    hooks.leaseWritten = [this](const AcquiredLease& lease) {
        if (m_guard)
            m_guard->leaseWritten(lease, EventLoop::now());
        publish();
    };
    if (m_guard) {
        hooks.isFenceEffective = [this](const std::string& service, Model::Time now) {
            return m_guard->isFenceEffective(service, now);
        };
    }
    return hooks;
}

std::optional<std::string> ProxyHost::start()
{
    if (auto error = m_server.listen())
        return error;
    if (auto error = m_fleet.listen(m_settings.ip, m_settings.firstPeerPort, m_settings.lastPeerPort))
        return error;
    m_ownRow = { m_fleet.address(), std::random_device {}(), {} };
    if (m_forwarding) {
        if (auto error
            = m_forwarding->listen(m_settings.ip, m_settings.firstPeerPort, m_settings.lastPeerPort))
            return error;
        m_ownRow.zone = m_settings.zone;
        m_ownRow.processorShare = m_settings.processorShare;
        m_ownRow.forwardAddress = m_forwarding->address();
    }
    registerHost();
    m_checkTimer.start(checkPeriod);
    return m_probe.start();
}

void ProxyHost::registerHost()
{
    m_worker.registerHost(m_ownRow, [this](std::uint64_t version) {
        m_ownRowVersion = version;
        // Written while the host was already shutting down.
        if (m_shutdownAt)
            m_worker.deleteHostRow(m_settings.host, version);
        // Other hosts identify this process by its first incarnation, which a rewritten row does not change.
        if (m_fleet.incarnation() != 0)
            return;
        m_fleet.setIncarnation(version, EventLoop::now());
        if (m_guard)
            m_guard->registered(version);
    });
}

void ProxyHost::setHosts(const std::vector<StoreRow>& rows, bool isComplete)
{
    const Model::Time now = EventLoop::now();
    m_fleet.hostsChanged(rows, isComplete, now);
    if (m_forwarding)
        m_forwarding->hostsChanged(rows, isComplete);
    m_areHostsKnown = true;
    // The order of the hashes has no relation to the zones, unlike that of the names.
    const auto placeOf = [](const std::string& name) { return std::pair(Model::stableHash(name), name); };
    const std::vector<std::string> others = m_fleet.hostNames();
    const auto rank = std::ranges::count_if(
        others, [&](const auto& name) { return placeOf(name) < placeOf(m_settings.host); });
    m_server.engine().setHosts(static_cast<int>(others.size()) + 1, static_cast<int>(rank));
    m_storeControl.setFleetPlace({ static_cast<int>(others.size()) + 1, static_cast<int>(rank) });
    if (m_firstConfiguration)
        adopt(std::exchange(m_firstConfiguration, nullptr));
    if (m_guard)
        m_guard->setHosts(m_fleet.hostNames(), now);
    const bool isOwnRowLost = isComplete ? !adoptOwnRow(rows) : isOwnRowDeleted(rows);
    std::vector<Directory::HostEntry> entries;
    for (const StoreRow& row : rows) {
        if (row.isDeleted)
            m_staleHostRows.rowDeleted(row.key);
        else if (isComplete)
            entries.push_back({ row.key, row.version });
        else
            m_staleHostRows.setRow(row.key, row.version, now);
    }
    if (isComplete)
        m_staleHostRows.setAll(entries, now);
    // Another host presumed this one dead, or the store was restored from a copy of before its registration.
    // Without its row, new hosts would not learn of this host.
    if (isOwnRowLost && m_ownRowVersion != 0 && !m_shutdownAt) {
        Logging::write(Logging::EventId::HostRowLost);
        registerHost();
    }
}

/// Whether all rows of the hosts table include the one that this process has written. Its version changes if
/// the store is restored from an older copy.
bool ProxyHost::adoptOwnRow(const std::vector<StoreRow>& allRows)
{
    const auto own = std::ranges::find(allRows, m_settings.host, &StoreRow::key);
    if (own == allRows.end() || parseHostRow(own->value).nonce != m_ownRow.nonce)
        return false;
    if (m_ownRowVersion != 0)
        m_ownRowVersion = own->version;
    return true;
}

bool ProxyHost::isOwnRowDeleted(const std::vector<StoreRow>& changes) const
{
    return std::ranges::any_of(changes, [this](const StoreRow& row) {
        return row.key == m_settings.host && row.isDeleted && row.version > m_ownRowVersion;
    });
}

void ProxyHost::deleteStaleHostRow(Model::Time now)
{
    const auto entry = m_staleHostRows.takeNext(now);
    if (!entry)
        return;
    Logging::write(Logging::EventId::HostRowDropped,
        { { "member", entry->host }, { "version", std::to_string(entry->version) } });
    m_worker.deleteHostRow(entry->host, entry->version);
}

void ProxyHost::runPeriodicChecks()
{
    const Model::Time now = EventLoop::now();
    const int hosts = m_allowance.liveHosts(now);
    m_fleet.setHostCount(hosts);
    m_failovers.setHostCount(hosts);
    m_failovers.setReportPeriod(m_fleet.plan().period());
    m_server.engine().ledger().setHostCount(hosts);
    m_server.engine().ledger().removeReportsBefore(now - m_fleet.plan().period() * reportLifetimePeriods);
    for (const std::string& upstream : m_missingUpstreams.takeExpired(now))
        removeUpstream(upstream);
    checkPeerNotifications(now);
    deleteStaleHostRow(now);
    checkMissedChanges(StoreTable::Operators, now);
    checkMissedChanges(StoreTable::Upstreams, now);
    if (m_guard)
        m_guard->update(now);
    m_failovers.update();
    if (m_fleet.isReportDue(m_failovers.isAnyPrimarySuspected(now), now))
        publish();
    m_fleet.sendCounts(now);
    if (m_forwarding)
        m_forwarding->update(now);
    updateUsage(now);
    logOverruns(now);
    m_checkTimer.start(checkPeriod);
}

void ProxyHost::logOverruns(Model::Time now)
{
    const auto& configuration = m_view.configuration();
    const std::uint64_t version = configuration ? configuration->version : 0;
    for (const Allowance::Overrun& overrun : m_allowance.takeOverruns(now)) {
        Logging::write(Logging::EventId::CustomerLimitExceeded,
            { { "customer", overrun.customer }, { "rate", std::to_string(overrun.rate) },
                { "burst", std::to_string(overrun.burst) }, { "excess", std::to_string(overrun.excess) },
                { "hosts", std::to_string(overrun.liveHosts) },
                { "admitting", std::to_string(overrun.admittingHosts) },
                { "started", std::to_string(overrun.startedHosts) },
                { "configuration", std::to_string(version) },
                { "hostsWithOlder", std::to_string(m_fleet.hostsWithOlderConfiguration(version)) } });
    }
}

void ProxyHost::checkMissedChanges(StoreTable table, Model::Time now)
{
    if (!m_missedChanges[table].takeMissed(now))
        return;
    const Directory::TableWatch watch = m_storeControl.reread(table, now);
    Logging::write(Logging::EventId::StoreChangeMissed,
        { { "table", table == StoreTable::Operators ? "operators" : "upstreams" },
            { "version", std::to_string(m_missedChanges[table].version()) },
            { "reported", std::to_string(m_missedChanges[table].reportedVersion()) },
            { "step", std::string(Directory::watchStepName(watch.step)) },
            { "stepMs", milliseconds(now - watch.stepStartedAt) },
            { "receivedBytes", std::to_string(watch.receivedBytes) },
            { "failures", std::to_string(watch.failures) } });
}

/// Without reports from other hosts, this host does not learn of changes that it has missed.
void ProxyHost::checkPeerNotifications(Model::Time now)
{
    const bool isReceiving = m_fleet.isReceivingReports(now);
    if (isReceiving == m_hasPeerNotifications)
        return;
    m_hasPeerNotifications = isReceiving;
    m_storeControl.setPeerNotifications(isReceiving);
}

void ProxyHost::publish()
{
    const Model::Time now = EventLoop::now();
    const auto& configuration = m_view.configuration();
    // At a reduced report rate, a report includes suspected primaries only: one host's suspicion makes all
    // others report their observations of that primary. In a small fleet every report includes all primaries.
    const auto scope = m_fleet.plan().isRateReduced() ? Failovers::ObservationScope::Suspected
                                                      : Failovers::ObservationScope::All;
    if (m_fleet.incarnation() == 0)
        return;
    m_fleet.publish({ m_failovers.healthObservations(scope), m_server.engine().pool().openCounts(),
                        configuration ? configuration->version : 0, m_failovers.canPromote(now),
                        m_missedChanges[StoreTable::Operators].version(),
                        m_missedChanges[StoreTable::Upstreams].version(),
                        m_guard ? m_guard->takeReport(m_fleet.nextSequence(), now) : FenceReport {} },
        now);
}

StoreEvents ProxyHost::storeEvents()
{
    StoreEvents events;
    events.configuration = [this](auto configuration) { adopt(std::move(configuration)); };
    events.configurationInvalid = [](const std::string& reason) {
        Logging::write(Logging::EventId::CatalogRejected, { { "reason", reason } });
    };
    events.zonesOut = [this](const std::vector<std::string>& zones) {
        const auto before = m_view.zonesOut();
        for (const std::string& zone : before) {
            if (std::ranges::find(zones, zone) == zones.end())
                setZone(zone, false);
        }
        for (const std::string& zone : zones)
            setZone(zone, true);
        m_server.directoryChanged();
    };
    events.zone = [this](const std::string& zone, bool isOut) {
        setZone(zone, isOut);
        m_server.directoryChanged();
    };
    events.upstreams = [this](const std::vector<Directory::Upstream>& upstreams) {
        for (const auto& [id, upstream] : m_view.upstreams()) {
            if (std::ranges::find(upstreams, id, &Directory::Upstream::id) == upstreams.end())
                m_missingUpstreams.entryMissing(id, EventLoop::now());
        }
        for (const Directory::Upstream& upstream : upstreams)
            setUpstream(upstream);
        m_hasUpstreams = true;
        m_failovers.upstreamsRead();
        updateReadiness();
        m_server.directoryChanged();
    };
    events.upstream = [this](const Directory::Upstream& upstream) {
        setUpstream(upstream);
        m_server.directoryChanged();
    };
    events.upstreamRemoved = [this](const std::string& id) {
        const Model::Time now = EventLoop::now();
        if (!m_unavailableTables.empty() || now - m_storeAvailableSince < storeRecoveryWindow)
            m_missingUpstreams.entryMissing(id, now);
        else
            removeUpstream(id);
    };
    events.hosts = [this](const std::vector<StoreRow>& rows, bool isComplete) { setHosts(rows, isComplete); };
    events.changesRead = [this](StoreTable table, std::uint64_t newest, std::uint64_t position) {
        m_missedChanges[table].read(newest, position, EventLoop::now());
    };
    events.restored = [this](const StoreRestoration& restoration) {
        Logging::write(Logging::EventId::StoreRestored,
            { { "table", restoration.table }, { "epoch", std::to_string(restoration.epoch) },
                { "read", std::to_string(restoration.versionBefore) },
                { "now", std::to_string(restoration.versionNow) } });
        if (m_guard)
            m_guard->storeRestored(EventLoop::now());
    };
    events.tableAvailable = [this](const std::string& table, int failures) {
        Logging::write(Logging::EventId::StoreRecovered,
            { { "table", table }, { "failures", std::to_string(failures) } });
        m_unavailableTables.erase(table);
        m_storeAvailableSince = EventLoop::now();
        m_failovers.setStoreReachable(m_unavailableTables.empty());
    };
    events.readFailed = [this](const Directory::FailedRead& failure) { readFailed(failure); };
    return events;
}

void ProxyHost::readFailed(const Directory::FailedRead& failure)
{
    m_metrics.counter("parsleytack_store_read_failures_total", "table=\"" + failure.table + "\"").add();
    Logging::write(Logging::EventId::StoreReadFailed,
        { { "table", failure.table }, { "reason", failure.error },
            { "step", std::string(Directory::watchStepName(failure.watch.step)) },
            { "stepMs", milliseconds(failure.duration) },
            { "receivedBytes", std::to_string(failure.watch.receivedBytes) },
            { "failures", std::to_string(failure.watch.failures) } });
    if (!m_unavailableTables.insert(failure.table).second)
        return;
    Logging::write(
        Logging::EventId::StoreUnavailable, { { "table", failure.table }, { "reason", failure.error } });
    m_failovers.setStoreReachable(false);
}

void ProxyHost::setUpstream(const Directory::Upstream& upstream)
{
    Logging::write(Logging::EventId::UpstreamChanged,
        { { "upstream", upstream.id }, { "service", upstream.service }, { "zone", upstream.zone },
            { "role", upstream.role == Directory::Role::Primary ? "primary" : "replica" },
            { "availability",
                upstream.availability == Directory::Availability::Ready ? "ready" : "draining" },
            { "revision", std::to_string(upstream.revision) } });
    m_missingUpstreams.entrySeen(upstream.id);
    m_view.setUpstream(upstream);
}

void ProxyHost::removeUpstream(const std::string& id)
{
    if (!m_view.findUpstream(id))
        return;
    Logging::write(Logging::EventId::UpstreamGone, { { "upstream", id } });
    m_missingUpstreams.entrySeen(id);
    m_view.removeUpstream(id, EventLoop::now());
    m_server.directoryChanged();
}

void ProxyHost::setZone(const std::string& zone, bool isOut)
{
    if (m_view.isZoneOut(zone) == isOut)
        return;
    Logging::write(Logging::EventId::ZoneChanged, { { "zone", zone }, { "state", isOut ? "out" : "in" } });
    if (isOut)
        m_view.setZoneOut(zone);
    else
        m_view.setZoneIn(zone);
}

void ProxyHost::adopt(std::shared_ptr<const Directory::Configuration> configuration)
{
    // Before the first list of hosts, this host admits no operations of limited customers. Sessions wait for
    // the first configuration, so that their callers need not be refused.
    if (!m_areHostsKnown) {
        m_firstConfiguration = std::move(configuration);
        return;
    }
    const std::string version = std::to_string(configuration->version);
    if (!m_view.adopt(std::move(configuration)))
        return;
    Logging::write(Logging::EventId::CatalogAdopted, { { "version", version } });
    m_metrics.gauge("parsleytack_configuration_version")
        .set(static_cast<std::int64_t>(m_view.configuration()->version));
    m_allowance.setCustomers(*m_view.configuration(), EventLoop::now());
    updateReadiness();
    m_server.directoryChanged();
}

void ProxyHost::updateReadiness()
{
    m_probe.setReady(m_view.configuration() && m_hasUpstreams && !m_shutdownAt);
}

void ProxyHost::changeSettings(const Settings::ProxySettings& settings)
{
    const bool needsRestart = settings.callers.text() != m_settings.callers.text()
        || settings.probe.text() != m_settings.probe.text()
        || settings.store.text() != m_settings.store.text()
        || settings.promoter.text() != m_settings.promoter.text() || settings.zone != m_settings.zone;
    m_settings.shutdownMs = settings.shutdownMs;
    m_staleHostRows.setLifetime(std::chrono::seconds(settings.forgetHostsAfterS));
    Logging::setTraceSampleRate(settings.traceSampleRate);
    Logging::write(Logging::EventId::SettingsReloaded,
        { { "shutdownMs", std::to_string(settings.shutdownMs) },
            { "forgetHostsAfterS", std::to_string(settings.forgetHostsAfterS) },
            { "traceSampleRate", std::to_string(settings.traceSampleRate) },
            { "needsRestart", needsRestart ? "true" : "false" } });
}

void ProxyHost::shutDown()
{
    if (m_shutdownAt)
        return;
    Logging::write(Logging::EventId::DrainStarted);
    m_shutdownAt = EventLoop::now();
    if (m_guard)
        m_guard->shutDown();
    if (m_forwarding)
        m_forwarding->drain();
    if (m_usage)
        m_usage->shutDown();
    if (m_ownRowVersion != 0)
        m_worker.deleteHostRow(m_settings.host, m_ownRowVersion);
    updateReadiness();
    const Model::Duration limit = std::chrono::milliseconds(m_settings.shutdownMs);
    m_server.limitDeadlines(*m_shutdownAt + fractionOf(limit, lastAnswerFraction));
    m_shutdownTimer.start(std::min(balancerDelay, fractionOf(limit, rollbackFraction)));
}

void ProxyHost::continueShutdown()
{
    const Model::Duration elapsed = EventLoop::now() - *m_shutdownAt;
    const Model::Duration limit = std::chrono::milliseconds(m_settings.shutdownMs);
    m_server.stopListening();
    if (elapsed >= fractionOf(limit, rollbackFraction))
        m_server.endTransactions();
    m_server.closeIdleSessions();
    const bool isOver = elapsed >= fractionOf(limit, exitFraction);
    const Proxy::Engine& engine = m_server.engine();
    // Callers whose transaction has failed may never end it.
    const bool areSessionsOver = engine.sessionCount() == 0
        || (elapsed >= fractionOf(limit, lastAnswerFraction) && !engine.hasUnansweredStatements());
    const bool areAnswersSent
        = m_server.isEveryAnswerSent() && (!m_forwarding || m_forwarding->isEveryReplySent());
    const bool isDone = areSessionsOver && areAnswersSent;
    if (!isDone && !isOver) {
        m_shutdownTimer.start(shutdownCheckPeriod);
        return;
    }
    if (m_usage && !std::exchange(m_isLastUsageSent, true)) {
        m_usage->sendAll(EventLoop::now());
        m_shutdownTimer.start(lastUsageDelay);
        return;
    }
    m_loop.stop();
}

}
