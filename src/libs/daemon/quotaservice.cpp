#include "daemon/quotaservice.h"

#include "core/membership/timing.h"
#include "core/model/rendezvous.h"
#include "daemon/clock.h"
#include "daemon/drawmessages.h"
#include "logging/log.h"
#include "wire/peer.pb.h"

#include <algorithm>

namespace Daemon {

using Model::ErrorCode;
using Model::makeError;
using Quota::Admission;
using Quota::KnownHost;
using Quota::SlotAssignment;
using Quota::TokenCache;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds drawTimeout(500);
    constexpr milliseconds slotInterval(1000);
    /// After a decision with many changes, the next one follows sooner, so that a new fleet serves its full
    /// rates after a few seconds. The maximum number of changes per decision limits the load on the store.
    constexpr milliseconds busySlotInterval(300);
    /// The interval for reading the row of a slot that this host should hold but another host still holds.
    constexpr milliseconds rowReadInterval(2000);
    constexpr std::size_t maxReadsPerDecision = 64;
    constexpr milliseconds leaseReadInterval(3000);
    constexpr milliseconds contactRoundsDuration(10000);

    Quota::Limits limitsOf(const Catalog::Customer& customer)
    {
        return { static_cast<std::uint64_t>(customer.rate), static_cast<std::uint64_t>(customer.burst) };
    }

    std::string preferredHolder(int slot, const std::vector<std::string>& live)
    {
        const int index = Model::rendezvousIndex("slot/" + std::to_string(slot), live);
        return index < 0 ? std::string() : live[static_cast<std::size_t>(index)];
    }

}

QuotaService::QuotaService(const std::string& storeAddress, Quota::Holder self, PeerService& peers,
    HostRegistration& registration, Metrics::Registry& metrics)
    : m_self(std::move(self))
    , m_peers(peers)
    , m_registration(registration)
    , m_metrics(metrics)
    , m_cache(m_self.host)
    , m_buckets(steadyNow())
    , m_store(storeAddress)
    , m_assignment(m_self)
{
}

QuotaService::~QuotaService() { stop(); }

void QuotaService::start()
{
    m_drawThread = std::thread([this] { runDraws(); });
    m_slotThread = std::thread([this] { runSlots(); });
}

void QuotaService::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeDraws.notify_all();
    m_wakeSlots.notify_all();
    m_granted.notify_all();
    for (std::thread* thread : { &m_drawThread, &m_slotThread }) {
        if (thread->joinable())
            thread->join();
    }
}

void QuotaService::drain()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isDraining = true;
    }
    m_wakeSlots.notify_all();
    if (m_slotThread.joinable())
        m_slotThread.join();
    std::vector<Quota::OutgoingDraw> returns;
    {
        const std::lock_guard lock(m_mutex);
        returns = m_cache.returnAll(steadyNow());
    }
    sendDraws(returns);
    decideSlots(SlotAssignment::HostState::Draining);
}

void QuotaService::configure(const Catalog::Snapshot& catalog, Model::Duration inForceFor)
{
    std::map<std::string, Quota::Limits> limits;
    for (const Catalog::Customer& customer : catalog.document().customers)
        limits.emplace(customer.name, limitsOf(customer));
    const std::lock_guard lock(m_mutex);
    const Model::Time now = steadyNow();
    // Slots are taken only after the first catalogue, so this discards no bucket.
    if (!m_isConfigured)
        m_buckets = Quota::SlotBuckets(now - inForceFor);
    m_isConfigured = true;
    for (const auto& [customer, old] : m_limits) {
        if (limits.contains(customer))
            continue;
        m_cache.removeCustomer(customer);
        m_buckets.removeCustomer(customer);
    }
    for (const auto& [customer, value] : limits) {
        const auto known = m_limits.find(customer);
        if (known != m_limits.end() && known->second == value)
            continue;
        m_cache.setLimits(customer, value);
        m_buckets.setLimits(customer, value, now);
    }
    m_limits = std::move(limits);
}

std::vector<std::string> QuotaService::liveNames() const
{
    std::vector<std::string> names;
    for (const Membership::Member& member : m_peers.liveMembers()) {
        if (!member.leaving && !member.isUnconfirmed())
            names.push_back(member.name);
    }
    std::ranges::sort(names);
    return names;
}

void QuotaService::membersChanged()
{
    // Entry hosts compute the holders instead of reading 1,024 rows. A host that has not taken its slot yet
    // reports this in its reply.
    const std::vector<std::string> live = liveNames();
    {
        const std::lock_guard lock(m_mutex);
        if (live == m_holdersFor)
            return;
        m_holdersFor = live;
    }
    std::vector<std::string> holders;
    holders.reserve(Quota::slotCount);
    for (int slot = 0; slot < Quota::slotCount; ++slot)
        holders.push_back(preferredHolder(slot, live));
    {
        const std::lock_guard lock(m_mutex);
        m_cache.setHolders(holders);
    }
    m_wakeDraws.notify_all();
}

Model::Result<void> QuotaService::admit(const std::string& customer, Model::Time deadline)
{
    std::unique_lock lock(m_mutex);
    const Model::Time start = steadyNow();
    Admission admission = m_cache.admit(customer, TokenCache::Attempt::First, start);
    if (admission == Admission::Admitted)
        return {};
    const Model::Time waitUntil = std::min(deadline, start + TokenCache::maxWait);
    while (admission == Admission::Wait && !m_isStopping) {
        m_isPlanDue = true;
        m_wakeDraws.notify_all();
        const bool isTimedOut = m_granted.wait_until(lock, toSteady(waitUntil)) == std::cv_status::timeout;
        admission = m_cache.admit(customer, TokenCache::Attempt::Retry, steadyNow());
        if (isTimedOut)
            break;
    }
    if (admission == Admission::Admitted)
        return {};
    if (admission == Admission::UnknownCustomer)
        return makeError(ErrorCode::KeyInvalid);
    m_cache.cancelWait(customer);
    lock.unlock();
    m_metrics.counter("parsleytack_rate_limited_total", "customer=\"" + customer + "\"").add();
    return makeError(ErrorCode::RateLimited);
}

Quota::DrawReply QuotaService::draw(const Quota::EntryHost& entry, const Quota::DrawRequest& request)
{
    const Model::Time now = steadyNow();
    const bool mayServe = m_registration.mayServeSlots(now);
    Quota::DrawReply reply { request.sequence, {} };
    const std::uint64_t generation = m_registration.leaseGeneration();
    if (mayServe) {
        const std::lock_guard lock(m_mutex);
        // After a lapse of the lease, other hosts may hold the slots that this one took before.
        if (generation == m_generation)
            return m_buckets.draw(entry, request, now);
    }
    for (const Quota::Draw& item : request.draws)
        reply.grants.push_back({ item.customer, 0, true });
    return reply;
}

void QuotaService::runDraws()
{
    std::mt19937_64 generator(std::random_device {}());
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_isPlanDue = false;
        std::vector<Quota::OutgoingDraw> draws = m_cache.plan(steadyNow(), generator);
        lock.unlock();
        sendDraws(draws);
        lock.lock();
        m_wakeDraws.wait_for(lock, TokenCache::planInterval, [this] { return m_isStopping || m_isPlanDue; });
    }
}

void QuotaService::sendDraws(const std::vector<Quota::OutgoingDraw>& draws)
{
    for (const Quota::OutgoingDraw& draw : draws) {
        if (draw.holder == m_self.host) {
            const Quota::DrawReply reply = this->draw({ m_self.host, m_self.incarnation }, draw.request);
            handleReply(draw.holder, &reply);
            continue;
        }
        m_peers.draw(draw.holder, toMessage(draw.request), drawTimeout,
            [this, holder = draw.holder](const Wire::DrawReply* message) {
                const auto reply = message ? fromMessage(*message) : std::nullopt;
                handleReply(holder, reply ? &*reply : nullptr);
            });
    }
}

void QuotaService::handleReply(const std::string& holder, const Quota::DrawReply* reply)
{
    if (!reply)
        return;
    {
        const std::lock_guard lock(m_mutex);
        if (m_cache.reply(holder, *reply, steadyNow()) == TokenCache::ReplyEffect::PlanNow)
            m_isPlanDue = true;
    }
    m_wakeDraws.notify_all();
    m_granted.notify_all();
}

void QuotaService::runSlots()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping && !m_isDraining) {
        const bool isConfigured = m_isConfigured;
        lock.unlock();
        const bool isBusy = isConfigured && decideSlots(SlotAssignment::HostState::Serving);
        lock.lock();
        m_buckets.removeIdleEntryHosts(steadyNow());
        m_wakeSlots.wait_for(
            lock, isBusy ? busySlotInterval : slotInterval, [this] { return m_isStopping || m_isDraining; });
    }
}

bool QuotaService::decideSlots(SlotAssignment::HostState state)
{
    resetAfterLeaseLapse();
    if (state == SlotAssignment::HostState::Serving)
        readWantedSlots();
    SlotAssignment::Situation current = situation(state);
    observeLeases(current);
    m_peers.withContact([&](const Membership::ContactTracker& contact) {
        const Model::Time now = steadyNow();
        for (const auto& [slot, reading] : m_rows) {
            const Quota::Holder& holder = reading.row.holder;
            const auto observer = m_leaseObservers.find(holder.host);
            const auto known = std::ranges::find(current.hosts, holder.host, &KnownHost::name);
            const std::uint64_t newest = known == current.hosts.end() ? 0 : known->incarnation;
            if (observer != m_leaseObservers.end()
                && observer->second.takeoverAllowed(
                    { holder.incarnation, reading.finishedAt, newest }, now, contact))
                current.expiredLeases.push_back(holder);
        }
    });
    const Model::Time now = steadyNow();
    if (m_registration.mayServeSlots(now))
        m_slotLeases.renewed(now, now);
    std::vector<Quota::SlotRow> rows;
    for (const auto& [slot, reading] : m_rows)
        rows.push_back(reading.row);
    const std::vector<Quota::SlotChange> changes = m_assignment.decide(current, m_slotLeases, rows, now);
    std::size_t taken = 0;
    std::size_t released = 0;
    for (const Quota::SlotChange& change : changes) {
        const bool isDone = apply(change);
        const bool isTake = change.kind == Quota::SlotChange::Kind::Take;
        taken += isDone && isTake ? 1 : 0;
        released += isDone && !isTake ? 1 : 0;
    }
    if (taken > 0)
        Logging::write(Logging::EventId::SlotTaken, { { "count", std::to_string(taken) } });
    if (released > 0)
        Logging::write(Logging::EventId::SlotReleased, { { "count", std::to_string(released) } });
    const std::lock_guard lock(m_mutex);
    std::int64_t held = 0;
    for (int slot = 0; slot < Quota::slotCount; ++slot)
        held += m_buckets.holdsSlot(slot) ? 1 : 0;
    m_metrics.gauge("parsleytack_quota_slots_held").set(held);
    return changes.size() >= SlotAssignment::maxTakesPerDecision;
}

void QuotaService::resetAfterLeaseLapse()
{
    const std::uint64_t generation = m_registration.leaseGeneration();
    const std::lock_guard lock(m_mutex);
    if (generation == m_generation)
        return;
    m_generation = generation;
    m_slotLeases = Quota::SlotLeases();
    // The lease had lapsed, so another host may have taken any slot: all are acquired again.
    for (const auto& [slot, reading] : m_rows) {
        m_buckets.removeSlot(slot);
        m_unresolved.insert(slot);
    }
    if (!m_rows.empty())
        Logging::write(Logging::EventId::SlotLost, { { "count", std::to_string(m_rows.size()) } });
    m_rows.clear();
}

void QuotaService::updateWanted()
{
    std::vector<std::string> live = liveNames();
    if (live == m_wantedFor)
        return;
    m_wantedFor = std::move(live);
    m_wanted.clear();
    for (int slot = 0; slot < Quota::slotCount; ++slot) {
        if (preferredHolder(slot, m_wantedFor) == m_self.host)
            m_wanted.push_back(slot);
    }
}

void QuotaService::readWantedSlots()
{
    updateWanted();
    std::set<int> wanted(m_wanted.begin(), m_wanted.end());
    wanted.insert(m_unresolved.begin(), m_unresolved.end());
    std::erase_if(m_rows, [&](const auto& entry) {
        return !wanted.contains(entry.first) && entry.second.row.holder != m_self;
    });
    const Model::Time now = steadyNow();
    std::size_t reads = 0;
    for (const int slot : wanted) {
        const auto known = m_rows.find(slot);
        const bool isFresh = known != m_rows.end()
            && (known->second.row.holder == m_self || now - known->second.finishedAt < rowReadInterval);
        if (isFresh)
            continue;
        if (++reads > maxReadsPerDecision)
            return;
        const auto reading = m_store.read(slot);
        if (!reading)
            return;
        m_rows[slot] = *reading;
        m_unresolved.erase(slot);
    }
}

void QuotaService::observeLeases(const SlotAssignment::Situation& current)
{
    std::set<std::string> presumedDead;
    for (const auto& [slot, reading] : m_rows) {
        const std::string& host = reading.row.holder.host;
        const auto known = std::ranges::find(current.hosts, host, &KnownHost::name);
        const bool isAlive = known != current.hosts.end() && known->state != KnownHost::State::Dead;
        if (!host.empty() && host != m_self.host && !isAlive)
            presumedDead.insert(host);
    }
    std::erase_if(
        m_leaseObservers, [&presumedDead](const auto& entry) { return !presumedDead.contains(entry.first); });
    for (const std::string& host : presumedDead) {
        const Model::Time start = steadyNow();
        Model::Time& readAt = m_leaseReadAt[host];
        Membership::LeaseObserver& observer = m_leaseObservers[host];
        if (start - readAt >= leaseReadInterval) {
            readAt = start;
            if (const auto lease = m_store.readLease(host))
                observer.observed({ lease->incarnation, lease->renewal }, start, steadyNow());
        }
        if (observer.needsContactRounds(steadyNow()))
            m_peers.withContact([](Membership::ContactTracker& contact) {
                contact.requestRounds(steadyNow() + contactRoundsDuration);
            });
    }
}

SlotAssignment::Situation QuotaService::situation(SlotAssignment::HostState state) const
{
    SlotAssignment::Situation result;
    result.state = state;
    switch (m_peers.contactState(steadyNow())) {
    case Membership::ContactState::Connected:
        result.contact = Quota::StoreContact::Connected;
        break;
    case Membership::ContactState::StoreOutage:
        result.contact = Quota::StoreContact::StoreOutage;
        break;
    case Membership::ContactState::Isolated:
        result.contact = Quota::StoreContact::Isolated;
        break;
    }
    for (const Membership::Member& member : m_peers.allMembers()) {
        KnownHost host { member.name, member.incarnation, KnownHost::State::Alive };
        if (!member.isLive())
            host.state = KnownHost::State::Dead;
        else if (member.leaving || member.isUnconfirmed())
            host.state = KnownHost::State::Leaving;
        result.hosts.push_back(std::move(host));
    }
    return result;
}

bool QuotaService::apply(const Quota::SlotChange& change)
{
    const bool isTake = change.kind == Quota::SlotChange::Kind::Take;
    const Model::Time started = steadyNow();
    const std::uint64_t generation = m_registration.leaseGeneration();
    if (!isTake) {
        m_slotLeases.slotLost(change.slot);
        const std::lock_guard lock(m_mutex);
        m_buckets.removeSlot(change.slot);
    }
    const auto reading = m_store.change(change.slot, change.epoch, isTake ? m_self : Quota::Holder {});
    if (!reading) {
        m_rows.erase(change.slot);
        m_unresolved.insert(change.slot);
        return false;
    }
    m_rows[change.slot] = *reading;
    if (!isTake)
        return true;
    const std::lock_guard lock(m_mutex);
    // A change that was in progress when the lease lapsed does not count.
    if (generation != m_generation)
        return false;
    m_slotLeases.slotTaken(change.slot, started);
    m_buckets.takeSlot(change.slot, steadyNow());
    return true;
}

}
