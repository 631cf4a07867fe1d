#include "daemon/hostregistration.h"

#include "daemon/clock.h"
#include "logging/log.h"

#include <nlohmann/json.hpp>

namespace Daemon {

using TableStore::PutStatus;

namespace {

    constexpr std::chrono::milliseconds checkInterval(250);
    /// The list and the roster grow with the fleet, and gossip distributes the changes, so hosts of larger
    /// fleets read them less often. With 810 hosts, the list is read every two minutes and the roster every
    /// three minutes, which is below 1 KB/s per host.
    constexpr std::chrono::milliseconds liveHostsInterval(5000);
    constexpr std::chrono::milliseconds liveHostsIntervalPerMember(150);
    constexpr std::chrono::milliseconds rosterReadInterval(30000);
    /// The first roster is written after this delay, in which gossip reaches the hosts that start at the same
    /// time. A host that is alone in the roster is a majority of it, and would serve keys during a store
    /// outage although it is partitioned from the other hosts.
    constexpr std::chrono::milliseconds firstRosterDelay(3000);
    constexpr std::chrono::milliseconds rosterReadIntervalPerMember(200);
    /// Longer than the check interval, so that contact rounds continue until the roster change is allowed.
    constexpr std::chrono::milliseconds contactRoundsDuration(2000);
    constexpr auto rosterKey = "roster";

    /// The version of the roster is that of its row. A malformed row is treated as absent.
    Membership::Roster parseRoster(const TableStore::Row& row)
    {
        const auto json = nlohmann::json::parse(row.value, nullptr, false);
        if (row.version == 0 || !json.is_object())
            return {};
        return { row.version, json.value("names", std::vector<std::string>()),
            json.value("previous", std::vector<std::string>()) };
    }

}

HostRegistration::HostRegistration(
    const std::string& storeAddress, std::string host, std::uint64_t incarnation, PeerService& peers)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_peers(peers)
    , m_store(storeAddress)
    , m_startedAt(steadyNow())
{
}

HostRegistration::~HostRegistration() { stop(); }

void HostRegistration::start()
{
    m_thread = std::thread([this] { run(); });
}

void HostRegistration::stop()
{
    {
        const std::lock_guard lock(m_stopMutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

bool HostRegistration::mayServeSlots(Model::Time now)
{
    bool mayServe = false;
    m_peers.withContact([&](const Membership::ContactTracker& contact) {
        const std::lock_guard lock(m_leaseMutex);
        mayServe = m_lease.mayServe(now, contact);
    });
    return mayServe;
}

std::uint64_t HostRegistration::leaseGeneration()
{
    const std::lock_guard lock(m_leaseMutex);
    return m_lease.generation();
}

void HostRegistration::run()
{
    Model::Time nextListRead = steadyNow();
    std::unique_lock lock(m_stopMutex);
    while (!m_isStopping) {
        lock.unlock();
        const Model::Time now = steadyNow();
        if (now >= nextListRead) {
            readLiveHosts();
            nextListRead
                = now + liveHostsInterval + liveHostsIntervalPerMember * m_peers.liveMembers().size();
        }
        bool isRenewalDue = false;
        {
            const std::lock_guard leaseLock(m_leaseMutex);
            isRenewalDue = m_lease.renewalDue(now);
        }
        if (isRenewalDue)
            renewLease();
        updateRoster();
        lock.lock();
        m_stopped.wait_for(lock, checkInterval, [this] { return m_isStopping; });
    }
}

void HostRegistration::readLiveHosts()
{
    const Model::Time requestedAt = steadyNow();
    const auto hosts = m_store.liveHosts();
    if (!hosts)
        return;
    m_peers.setLiveHosts(*hosts);
    m_peers.withContact([&](Membership::ContactTracker& contact) { contact.storeSucceeded(requestedAt); });
}

void HostRegistration::updateRoster()
{
    const Model::Time requestedAt = steadyNow();
    Membership::Roster current;
    bool isOutdated = false;
    m_peers.withContact([&](const Membership::ContactTracker& contact) {
        current = contact.roster();
        isOutdated = current.version < contact.newestRosterVersion();
    });
    if (isOutdated || requestedAt >= m_nextRosterRead) {
        const auto row = m_store.row(rosterKey);
        if (!row)
            return;
        m_nextRosterRead
            = requestedAt + rosterReadInterval + rosterReadIntervalPerMember * m_peers.liveMembers().size();
        current = parseRoster(*row);
        m_peers.withContact([&](Membership::ContactTracker& contact) {
            contact.setRoster(current, requestedAt, Membership::RosterSource::Store);
        });
    }
    const auto next = Membership::nextRoster(current, m_peers.allMembers(), m_host);
    if (!next)
        return;
    bool isAllowed = current.version == 0 && requestedAt - m_startedAt >= firstRosterDelay;
    m_peers.withContact([&](Membership::ContactTracker& contact) {
        contact.requestRounds(requestedAt + contactRoundsDuration);
        isAllowed = isAllowed || contact.rosterChangeAllowed(requestedAt);
    });
    if (!isAllowed)
        return;
    const std::string nonce = std::to_string(m_incarnation) + "/roster";
    const nlohmann::json value { { "names", next->names }, { "previous", next->previousNames } };
    m_store.putRow(rosterKey, { current.version, nonce, value.dump() });
    // Reading the row again shows whether this change took effect or another host replaced the row first.
    m_nextRosterRead = requestedAt;
}

void HostRegistration::renewLease()
{
    const Model::Time startedAt = steadyNow();
    {
        const std::lock_guard lock(m_leaseMutex);
        m_lease.renewalStarted(startedAt);
    }
    const std::string key = "host/" + m_host;
    const auto row = m_store.row(key);
    const auto current
        = row && row->version > 0 ? nlohmann::json::parse(row->value, nullptr, false) : nlohmann::json();
    const bool isSuperseded
        = current.is_object() && current.value("incarnation", std::uint64_t { 0 }) > m_incarnation;
    TableStore::PutResult put;
    if (row && !isSuperseded) {
        const nlohmann::json value { { "incarnation", m_incarnation }, { "renewal", ++m_renewalCounter } };
        const std::string nonce = std::to_string(m_incarnation) + "/" + std::to_string(m_renewalCounter);
        put = m_store.putRow(key, { row->version, nonce, value.dump() });
        if (put.status == PutStatus::Unknown) {
            // The response was lost; the nonce in the row shows whether the renewal took effect.
            const auto rereadRow = m_store.row(key);
            if (rereadRow && rereadRow->nonce == nonce)
                put.status = PutStatus::Done;
        }
    }
    m_peers.withContact([&](Membership::ContactTracker& contact) {
        const std::lock_guard lock(m_leaseMutex);
        if (isSuperseded)
            m_lease.superseded();
        else if (put.status == PutStatus::Done)
            m_lease.renewalSucceeded(startedAt, steadyNow(), contact);
        else
            m_lease.renewalFailed();
        if (put.status == PutStatus::Done)
            contact.storeSucceeded(startedAt);
    });
    if (isSuperseded)
        Logging::write(
            Logging::EventId::LeaseLapsed, { { "reason", "a newer process of this host holds the lease" } });
}

}
