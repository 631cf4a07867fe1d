#include "daemon/host.h"

#include "admin/adminserver.h"
#include "core/membership/ownership.h"
#include "crypto/randombytes.h"
#include "daemon/catalogholder.h"
#include "daemon/catalogservice.h"
#include "daemon/clock.h"
#include "daemon/drawmessages.h"
#include "daemon/forwardmessages.h"
#include "daemon/groupdirectory.h"
#include "daemon/hostregistration.h"
#include "daemon/operatorservice.h"
#include "daemon/peerservice.h"
#include "daemon/quotaservice.h"
#include "daemon/requestrouter.h"
#include "gateway/callerserver.h"
#include "logging/log.h"
#include "metrics/registry.h"
#include "wire/peer.pb.h"

#include <algorithm>
#include <condition_variable>
#include <csignal>

#include <unistd.h>

namespace Daemon {

using Membership::ContactState;
using Model::ErrorCode;
using Model::makeError;
using std::chrono::milliseconds;

namespace {

    /// Threads for requests that other hosts forward; each is blocked while its statement runs.
    constexpr std::size_t forwardThreads = 512;
    constexpr std::size_t forwardQueue = 2048;
    /// Threads for opening and checking connections and for the calls that the replication logic requests.
    constexpr std::size_t workerThreads = 64;
    constexpr std::size_t workerQueue = 4096;
    /// Ownership is recomputed after each membership event and each new catalogue, and at this interval.
    constexpr milliseconds ownershipInterval(5000);
    constexpr milliseconds reportInterval(500);
    /// Requests are still served for this time, in which the load balancer and the other hosts learn of the
    /// drain.
    constexpr milliseconds drainNoticePeriod(1500);
    constexpr milliseconds drainCheckInterval(50);
    /// How long a drain waits for callers to close their connections before it rejects requests.
    constexpr milliseconds connectionCloseTimeout(2000);
    /// Maximum size of a request body while no catalogue, which sets the limit, is in force.
    constexpr std::size_t maxBodyBytesWithoutCatalog = 1UL << 20U;

    std::vector<Membership::Zone> zonesOf(const Catalog::Snapshot& catalog)
    {
        std::vector<Membership::Zone> zones;
        for (const Catalog::Zone& zone : catalog.document().zones) {
            const bool isOut = zone.state == Catalog::ZoneState::Out;
            zones.push_back(
                { zone.name, zone.region, isOut ? Membership::ZoneState::Out : Membership::ZoneState::In });
        }
        return zones;
    }

    std::vector<std::string> upstreamZones(const Catalog::ServiceEntry& service)
    {
        std::vector<std::string> zones;
        for (const Catalog::Upstream* upstream : service.upstreams)
            zones.push_back(upstream->zone);
        return zones;
    }

    std::uint64_t newIncarnation()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto ms
            = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
        return Membership::makeIncarnation(ms, static_cast<std::uint16_t>(Crypto::randomNumber()));
    }

    std::vector<std::string> seedTexts(const Settings::HostSettings& settings)
    {
        std::vector<std::string> seeds;
        for (const Settings::Address& seed : settings.seeds)
            seeds.push_back(seed.text());
        return seeds;
    }

}

struct Host::Private {
    explicit Private(const Settings::HostSettings& hostSettings);

    Settings::HostSettings settings;
    std::uint64_t incarnation = newIncarnation();
    std::string transactionPrefix;
    Metrics::Registry metrics;
    WorkerPool forwards { forwardThreads, forwardQueue };
    WorkerPool workers { workerThreads, workerQueue };
    CatalogHolder holder;
    PeerService peers;
    GroupDirectory groups;
    CatalogService catalog;
    HostRegistration registration;
    QuotaService quota;
    RequestRouter router;
    Gateway::CallerServer callers;
    OperatorService operatorService;
    Admin::AdminServer operators;

    /// The drain has begun: the host reports that it is not ready, but still serves requests.
    std::atomic<bool> isDraining = false;
    /// The drain rejects new requests.
    std::atomic<bool> isRefusing = false;
    std::atomic<bool> isSuperseded = false;
    mutable std::mutex ownershipMutex;
    std::condition_variable ownershipChanged;
    bool isOwnershipStale = true;
    /// Owner of each service, cached so that a request costs one look-up instead of one hash per live host.
    std::map<std::string, std::string> owners;
    bool isStopping = false;
    std::thread ownershipThread;
    /// The last reported values. Used only on the ownership thread.
    Membership::ContactState lastContact = Membership::ContactState::Isolated;
    std::uint64_t lastRejected = 0;

    PeerHooks peerHooks();
    RouterHooks routerHooks();
    Gateway::CallerHooks callerHooks();
    Admin::AdminHooks adminHooks();
    Admin::Status status() const;
    std::string metricsText();
    std::optional<Model::Error> refusalReason() const;
    std::string ownerOf(const std::string& service) const;
    /// Host that runs a transaction, from the `HOST~INCARNATION~` prefix of the id. Empty if that process is
    /// not a live member.
    std::string transactionHostOf(const std::string& transactionId) const;
    void onForward(
        const Wire::ForwardRequest& message, const std::function<void(Wire::ForwardReply)>& respond);
    void onCatalogAdopted();
    void invalidateOwnership();
    void runOwnership();
    void updateOwnership();
    void reportChanges();
    void stopOwnership();
};

Host::Private::Private(const Settings::HostSettings& hostSettings)
    : settings(hostSettings)
    , transactionPrefix(settings.host + "~" + std::to_string(incarnation) + "~")
    , holder(settings.fleetSecret)
    , peers({ settings.peers.text(), settings.host, incarnation, settings.curvePublicKey,
                settings.curveSecretKey },
          settings.zone, seedTexts(settings), metrics, peerHooks())
    , groups({ settings.host, settings.zone, transactionPrefix, &workers, &metrics })
    , catalog(settings.store.text(), holder, peers, [this] { onCatalogAdopted(); })
    , registration(settings.store.text(), settings.host, incarnation, peers)
    , quota(settings.store.text(), { settings.host, incarnation }, peers, registration, metrics)
    , router(holder, metrics, routerHooks())
    , callers({ settings.callers.ip, settings.callers.port, settings.maxCallerConnections,
                  static_cast<std::size_t>(settings.callerStackKib) * 1024 },
          callerHooks())
    , operatorService(holder, catalog)
    , operators({ settings.operators.ip, settings.operators.port, settings.operatorSecret }, adminHooks())
{
}

PeerHooks Host::Private::peerHooks()
{
    PeerHooks hooks;
    hooks.onForward
        = [this](const Wire::ForwardRequest& message,
              const std::function<void(Wire::ForwardReply)>& respond) { onForward(message, respond); };
    hooks.onDraw = [this](const std::string& sender, std::uint64_t senderIncarnation,
                       const Wire::DrawRequest& message) {
        const auto request = Daemon::fromMessage(message);
        return request ? toMessage(quota.draw({ sender, senderIncarnation }, *request)) : Wire::DrawReply();
    };
    hooks.onCatalogPull = [this](std::uint64_t version) { return catalog.deltaFrom(version); };
    hooks.onVersionAnnounced = [this](const Membership::VersionAnnouncement& announcement) {
        catalog.versionAnnounced(announcement);
    };
    hooks.onMembersChanged = [this] { invalidateOwnership(); };
    hooks.onSuperseded = [this] {
        isSuperseded = true;
        // Sent to the process rather than to this thread, so that the thread in `sigwait` receives it.
        ::kill(::getpid(), SIGTERM);
    };
    return hooks;
}

RouterHooks Host::Private::routerHooks()
{
    RouterHooks hooks;
    hooks.refusalReason = [this] { return refusalReason(); };
    hooks.keyedRefusalReason = [this]() -> std::optional<Model::Error> {
        if (peers.contactState(steadyNow()) == ContactState::Isolated)
            return makeError(ErrorCode::Isolated).value();
        return std::nullopt;
    };
    hooks.admit = [this](const std::string& customer, Model::Time deadline) {
        return quota.admit(customer, deadline);
    };
    hooks.ownerOf = [this](const std::string& service) { return ownerOf(service); };
    hooks.transactionHostOf
        = [this](const std::string& transactionId) { return transactionHostOf(transactionId); };
    hooks.run = [this](const std::string& host, const GroupRequest& request) {
        return host == settings.host ? groups.run(request) : peers.forward(host, request);
    };
    return hooks;
}

Gateway::CallerHooks Host::Private::callerHooks()
{
    Gateway::CallerHooks hooks;
    hooks.serve = [this](const Gateway::CallerRequest& request) { return router.serve(request); };
    hooks.maxBodyBytes = [this] {
        const CatalogInForcePointer inForce = holder.current();
        return inForce ? static_cast<std::size_t>(inForce->snapshot->limits().bodyBytes)
                       : maxBodyBytesWithoutCatalog;
    };
    return hooks;
}

Admin::AdminHooks Host::Private::adminHooks()
{
    Admin::AdminHooks hooks;
    hooks.publish = [this](const Admin::PublishRequest& request) { return operatorService.publish(request); };
    hooks.check = [this](const std::string& document) { return operatorService.check(document); };
    hooks.currentDocument = [this] { return operatorService.currentDocument(); };
    hooks.history = [this] { return operatorService.history(); };
    hooks.status = [this] { return status(); };
    hooks.setZoneState = [this](const std::string& zone, Catalog::ZoneState state) {
        return operatorService.setZoneState(zone, state);
    };
    hooks.grantKey = [this](const std::string& customer, const std::string& key) {
        return operatorService.grantKey(customer, key);
    };
    hooks.withdrawKey = [this](const std::string& key) { return operatorService.withdrawKey(key); };
    hooks.metrics = [this] { return metricsText(); };
    hooks.isHealthy = [] { return true; };
    hooks.notReadyReason = [this]() -> std::optional<Model::Error> {
        if (isDraining)
            return makeError(ErrorCode::Draining).value();
        if (auto reason = refusalReason())
            return reason;
        if (peers.contactState(steadyNow()) == ContactState::Isolated)
            return makeError(ErrorCode::Isolated).value();
        return std::nullopt;
    };
    return hooks;
}

Admin::Status Host::Private::status() const
{
    Admin::Status result;
    result.host = settings.host;
    result.zone = settings.zone;
    result.contact = Membership::contactStateName(peers.contactState(steadyNow()));
    result.version = holder.version();
    catalog.withAdoption([&result](const Catalog::Adoption& adoption) {
        result.announcedVersion = std::max(adoption.announcedVersion(), adoption.currentVersion());
    });
    for (const Membership::Member& member : peers.allMembers())
        result.hosts.push_back({ member.name, member.zone,
            std::string(Membership::memberStateName(
                member.leaving && member.isLive() ? Membership::MemberState::Leaving : member.state)) });
    const CatalogInForcePointer inForce = holder.current();
    if (!inForce)
        return result;
    const std::vector<GroupDirectory::ServiceStatus> owned = groups.status();
    for (const Catalog::Service& service : inForce->snapshot->document().services) {
        Admin::ServiceStatus entry { service.name, ownerOf(service.name), {}, 0 };
        const auto own = std::ranges::find(owned, service.name, &GroupDirectory::ServiceStatus::service);
        if (own != owned.end()) {
            entry.primary = own->status.primary;
            entry.term = own->status.term;
        }
        result.services.push_back(std::move(entry));
    }
    return result;
}

std::string Host::Private::metricsText()
{
    const Transport::TransportCounts counts = peers.transportCounts();
    metrics.counter("parsleytack_peer_bytes_total", "direction=\"sent\"")
        .set(static_cast<std::int64_t>(counts.bytesSent));
    metrics.counter("parsleytack_peer_bytes_total", "direction=\"received\"")
        .set(static_cast<std::int64_t>(counts.bytesReceived));
    metrics.counter("parsleytack_peer_messages_total", "direction=\"sent\"")
        .set(static_cast<std::int64_t>(counts.messagesSent));
    metrics.counter("parsleytack_peer_messages_total", "direction=\"received\"")
        .set(static_cast<std::int64_t>(counts.messagesReceived));
    metrics.counter("parsleytack_peer_unparsable_total").set(static_cast<std::int64_t>(counts.malformed));
    metrics.counter("parsleytack_peer_rejected_total").set(static_cast<std::int64_t>(counts.rejected));
    metrics.gauge("parsleytack_catalog_version").set(static_cast<std::int64_t>(holder.version()));
    metrics.gauge("parsleytack_requests_running").set(callers.runningRequests());
    return metrics.text();
}

std::optional<Model::Error> Host::Private::refusalReason() const
{
    if (isRefusing)
        return makeError(ErrorCode::Draining).value();
    const CatalogInForcePointer inForce = holder.current();
    if (!inForce)
        return makeError(ErrorCode::NotReady).value();
    const Catalog::Zone* zone = inForce->snapshot->findZone(settings.zone);
    if (zone && zone->state == Catalog::ZoneState::Out)
        return makeError(ErrorCode::ZoneOut).value();
    return std::nullopt;
}

std::string Host::Private::ownerOf(const std::string& service) const
{
    const std::lock_guard lock(ownershipMutex);
    const auto found = owners.find(service);
    return found == owners.end() ? std::string() : found->second;
}

std::string Host::Private::transactionHostOf(const std::string& transactionId) const
{
    const std::size_t nameEnd = transactionId.find('~');
    const std::size_t prefixEnd = transactionId.find('~', nameEnd + 1);
    if (nameEnd == std::string::npos || prefixEnd == std::string::npos)
        return {};
    const std::string name = transactionId.substr(0, nameEnd);
    const auto member = peers.member(name);
    const bool isSameProcess = member && member->isLive()
        && transactionId.substr(nameEnd + 1, prefixEnd - nameEnd - 1) == std::to_string(member->incarnation);
    return isSameProcess ? name : std::string();
}

void Host::Private::onForward(
    const Wire::ForwardRequest& message, const std::function<void(Wire::ForwardReply)>& respond)
{
    auto request = fromMessage(message, steadyNow());
    if (!request)
        return respond(toMessage(GroupAnswer { request.error(), {}, {}, {}, {} }));
    const bool isPosted = forwards.post([this, respond, work = std::move(*request)] {
        if (steadyNow() >= work.deadline)
            return respond(toMessage(errorAnswer(ErrorCode::DeadlineExceeded)));
        respond(toMessage(groups.run(work)));
    });
    if (!isPosted)
        respond(toMessage(errorAnswer(isRefusing ? ErrorCode::Draining : ErrorCode::QueueFull)));
}

void Host::Private::onCatalogAdopted()
{
    if (const CatalogInForcePointer inForce = holder.current())
        quota.configure(*inForce->snapshot, catalog.initialAge());
    invalidateOwnership();
}

void Host::Private::invalidateOwnership()
{
    {
        const std::lock_guard lock(ownershipMutex);
        isOwnershipStale = true;
    }
    ownershipChanged.notify_all();
}

void Host::Private::runOwnership()
{
    Model::Time nextUpdate = steadyNow();
    std::unique_lock lock(ownershipMutex);
    while (!isStopping) {
        const bool isDue = isOwnershipStale || steadyNow() >= nextUpdate;
        isOwnershipStale = false;
        lock.unlock();
        if (isDue) {
            updateOwnership();
            quota.membersChanged();
            nextUpdate = steadyNow() + ownershipInterval;
        }
        reportChanges();
        lock.lock();
        ownershipChanged.wait_for(lock, reportInterval, [this] { return isStopping || isOwnershipStale; });
    }
}

void Host::Private::updateOwnership()
{
    const CatalogInForcePointer inForce = holder.current();
    if (!inForce)
        return;
    const std::vector<Membership::Member> members = peers.liveMembers();
    const std::vector<Membership::Zone> zones = zonesOf(*inForce->snapshot);
    std::map<std::string, std::string> next;
    std::vector<std::string> owned;
    for (const Catalog::Service& service : inForce->snapshot->document().services) {
        const Catalog::ServiceEntry* entry = inForce->snapshot->findService(service.name);
        const auto owner = Membership::ownerOf(service.name, upstreamZones(*entry), members, zones);
        if (owner == settings.host)
            owned.push_back(service.name);
        if (owner)
            next.emplace(service.name, *owner);
    }
    {
        const std::lock_guard lock(ownershipMutex);
        owners = std::move(next);
    }
    groups.update(owned, inForce->snapshot);
}

void Host::Private::reportChanges()
{
    const ContactState contact = peers.contactState(steadyNow());
    if (contact != lastContact)
        Logging::write(Logging::EventId::ContactChanged,
            { { "from", std::string(Membership::contactStateName(lastContact)) },
                { "to", std::string(Membership::contactStateName(contact)) } });
    lastContact = contact;
    const std::uint64_t rejected = peers.transportCounts().rejected;
    if (rejected > lastRejected)
        Logging::write(
            Logging::EventId::PeerRejected, { { "count", std::to_string(rejected - lastRejected) } });
    lastRejected = rejected;
}

void Host::Private::stopOwnership()
{
    {
        const std::lock_guard lock(ownershipMutex);
        isStopping = true;
    }
    ownershipChanged.notify_all();
    if (ownershipThread.joinable())
        ownershipThread.join();
}

Host::Host(const Settings::HostSettings& settings)
    : m_d(std::make_unique<Private>(settings))
{
}

Host::~Host() { stop(); }

std::optional<std::string> Host::start()
{
    if (auto error = m_d->peers.start())
        return "peers: " + *error;
    if (auto error = m_d->operators.start())
        return "operators: " + *error;
    if (auto error = m_d->callers.start())
        return "callers: " + *error;
    m_d->registration.start();
    m_d->catalog.start();
    m_d->quota.start();
    m_d->ownershipThread = std::thread([this] { m_d->runOwnership(); });
    return std::nullopt;
}

bool Host::drain()
{
    m_d->isDraining = true;
    m_d->callers.beginDrain();
    m_d->peers.leave();
    m_d->invalidateOwnership();
    std::this_thread::sleep_for(drainNoticePeriod);
    // By now each response closes its connection, and no new connections are accepted. Requests that still
    // arrive on open connections are therefore served to completion instead of being rejected.
    m_d->callers.stopAccepting();
    const Model::Time deadline = steadyNow() + milliseconds(m_d->settings.drainTimeoutMs);
    const Model::Time connectionsDeadline = std::min(deadline, steadyNow() + connectionCloseTimeout);
    while (m_d->callers.openConnections() > 0 && steadyNow() < connectionsDeadline)
        std::this_thread::sleep_for(drainCheckInterval);
    m_d->isRefusing = true;
    while (m_d->callers.runningRequests() > 0 || !m_d->groups.isIdle()) {
        if (steadyNow() >= deadline)
            return false;
        std::this_thread::sleep_for(drainCheckInterval);
    }
    return true;
}

void Host::stop()
{
    m_d->stopOwnership();
    m_d->quota.drain();
    m_d->operators.stop();
    m_d->callers.stop();
    m_d->forwards.stop();
    m_d->groups.clear();
    m_d->quota.stop();
    m_d->catalog.stop();
    m_d->registration.stop();
    m_d->peers.stop();
    m_d->workers.stop();
}

bool Host::isSuperseded() const { return m_d->isSuperseded; }

}
