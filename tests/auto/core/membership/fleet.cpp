#include "fleet.h"

#include <algorithm>

using namespace Membership;

namespace {

constexpr std::string_view addressPrefix = "host-";
constexpr std::size_t firstNumber = 100;

std::vector<std::string> namesOf(const std::vector<SimulatedHost>& hosts)
{
    std::vector<std::string> names(hosts.size());
    std::ranges::transform(hosts, names.begin(), &SimulatedHost::name);
    return names;
}

}

Fleet::Fleet(FleetOptions fleetOptions)
    : options(fleetOptions)
    , generator(fleetOptions.seed)
    , hosts(static_cast<std::size_t>(fleetOptions.hosts))
{
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        SimulatedHost& host = hosts[i];
        host.name = std::string(addressPrefix) + std::to_string(firstNumber + i);
        host.zone = "zone-" + std::to_string(i % 4);
        host.clockOffset = std::chrono::seconds(std::uniform_int_distribution(0, 1000)(generator));
        host.clockRate = std::uniform_real_distribution(1 - options.drift, 1 + options.drift)(generator);
        slots.push_back({ host.name, 0, 1 });
    }
    roster = { 1, namesOf(hosts), {} };
    for (SimulatedHost& host : hosts) {
        restart(host);
        at(now + Duration(static_cast<std::int64_t>(generator() % 200'000)), [this, &host] { tick(host); });
    }
}

void Fleet::at(Time time, std::function<void()> action)
{
    m_queue.push_back({ time, m_sequence++, std::move(action) });
    std::push_heap(m_queue.begin(), m_queue.end());
}

void Fleet::run(Duration duration)
{
    const Time end = now + duration;
    while (!m_queue.empty() && m_queue.front().time <= end) {
        std::pop_heap(m_queue.begin(), m_queue.end());
        const Event event = std::move(m_queue.back());
        m_queue.pop_back();
        now = event.time;
        event.action();
        if (check)
            check();
    }
    now = end;
}

void Fleet::restart(SimulatedHost& host)
{
    const Time local = host.localTime(now);
    host.running = true;
    host.pausedUntil = now;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    host.incarnation = makeIncarnation(static_cast<std::uint64_t>(milliseconds.count()) + 1'000'000,
        static_cast<std::uint16_t>(generator()));
    host.gossip.reset();
    host.contact = std::make_unique<ContactTracker>(host.name);
    const LocalHost self { host.name, host.name + ":7000", host.zone, host.incarnation };
    host.gossip = std::make_unique<Gossip>(self, local, *host.contact);
    std::vector<ListedHost> listed;
    for (const SimulatedHost& other : hosts)
        listed.push_back({ other.name, other.name + ":7000", other.zone, false });
    host.gossip->setLiveHosts(listed, local);
    host.lease = {};
    host.observers.clear();
    host.heldSlots.clear();
    host.slotRows.clear();
    host.nextPoll = host.nextObservation = local;
}

void Fleet::tick(SimulatedHost& host)
{
    at(now + options.tickInterval, [this, &host] { tick(host); });
    if (!host.running || now < host.pausedUntil)
        return;
    const Time local = host.localTime(now);
    send(host, host.gossip->tick(local, generator));
    if (!options.withStore)
        return;
    if (host.lease.renewalDue(local))
        renewLease(host);
    if (local >= host.nextPoll) {
        host.nextPoll = local + 3s + Duration(static_cast<std::int64_t>(generator() % 2'000'000));
        accessStore(
            host, [] {},
            [&host](bool done, Time startedAt) {
                if (done)
                    host.contact->storeSucceeded(startedAt);
            });
    }
    if (local >= host.nextObservation) {
        host.nextObservation = local + 2s;
        observeLeases(host);
    }
}

Duration Fleet::delay()
{
    const Duration longest = options.late > 0 && chance(options.late) ? options.lateness : Duration(4ms);
    return Duration(static_cast<std::int64_t>(generator() % static_cast<std::uint64_t>(longest.count())));
}

void Fleet::send(SimulatedHost& from, GossipOutput output)
{
    from.events.insert(from.events.end(), output.events.begin(), output.events.end());
    for (OutgoingMessage& message : output.messages) {
        ++from.sentMessages;
        from.sentBytes += encodedSize(message, from.name);
        const std::size_t index = std::stoul(message.address.substr(addressPrefix.size())) - firstNumber;
        SimulatedHost& to = hosts[index];
        const IncomingMessage incoming { from.name, from.incarnation, message.request,
            std::move(message.body) };
        const int copies = options.duplicates > 0 && chance(options.duplicates) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (from.cannotSend || from.group != to.group || (options.loss > 0 && chance(options.loss)))
                continue;
            at(now + delay(), [this, &host = to, incarnation = to.incarnation, incoming] {
                deliver(host, incarnation, incoming);
            });
        }
    }
}

void Fleet::deliver(SimulatedHost& to, std::uint64_t incarnation, const IncomingMessage& message)
{
    if (!to.running || to.incarnation != incarnation)
        return;
    if (now < to.pausedUntil) {
        at(to.pausedUntil + delay(), [=, this, &to] { deliver(to, incarnation, message); });
        return;
    }
    auto output = to.gossip->handle(message, to.localTime(now), generator);
    if (!output) {
        ++errors;
        return;
    }
    send(to, std::move(*output));
    if (to.contact->roster().version < to.contact->newestRosterVersion())
        pullRoster(to, message.sender);
}

void Fleet::accessStore(
    SimulatedHost& host, std::function<void()> effect, const std::function<void(bool, Time)>& done)
{
    const Time startedAt = host.localTime(now);
    const std::uint64_t incarnation = host.incarnation;
    const bool reached = host.reachesStore;
    const Time effectAt = now + delay();
    if (reached)
        at(effectAt, std::move(effect));
    const bool answered = reached && !chance(options.lostStoreResponses);
    auto respond = [=, this, &host](const auto& self) -> void {
        if (!host.running || host.incarnation != incarnation)
            return;
        if (now < host.pausedUntil)
            at(host.pausedUntil + delay(), [=] { self(self); });
        else
            done(answered, startedAt);
    };
    at(answered ? effectAt + delay() : now + 1s, [=] { respond(respond); });
}

void Fleet::renewLease(SimulatedHost& host)
{
    host.lease.renewalStarted(host.localTime(now));
    const LeaseRow row { host.incarnation, ++host.renewalCounter };
    accessStore(
        host,
        [this, &host, row] {
            if (m_leases[host.name].incarnation <= row.incarnation)
                m_leases[host.name] = row;
        },
        [this, &host](bool done, Time startedAt) {
            if (!done) {
                host.lease.renewalFailed();
                return;
            }
            host.lease.renewalSucceeded(startedAt, host.localTime(now), *host.contact);
            host.contact->storeSucceeded(startedAt);
        });
}

void Fleet::observeLeases(SimulatedHost& host)
{
    auto slotRows = std::make_shared<std::vector<SlotRow>>();
    auto rosterRow = std::make_shared<Roster>();
    accessStore(
        host,
        [this, slotRows, rosterRow] {
            *slotRows = slots;
            *rosterRow = roster;
        },
        [this, &host, slotRows, rosterRow](bool done, Time rowsReadAt) {
            if (!done)
                return;
            host.contact->setRoster(*rosterRow, rowsReadAt, RosterSource::Store);
            changeRoster(host);
            host.slotRows = *slotRows;
            host.slotRowsReadAt = host.localTime(now);
            auto leases = std::make_shared<std::map<std::string, LeaseRow>>();
            accessStore(
                host, [this, leases] { *leases = m_leases; },
                [this, &host, leases](bool leasesRead, Time startedAt) {
                    if (!leasesRead)
                        return;
                    for (const auto& [name, row] : *leases)
                        host.observers[name].observed(row, startedAt, host.localTime(now));
                    acquireSlots(host);
                });
        });
}

void Fleet::changeRoster(SimulatedHost& host)
{
    const Time local = host.localTime(now);
    Roster next { host.contact->roster().version + 1, {}, host.contact->roster().names };
    for (const std::string& name : next.previousNames) {
        const auto known = host.gossip->members().find(name);
        const bool isDeadOrUnknown = known == host.gossip->members().end()
            || (!known->second.isLive() && local - known->second.stateSince > 10s);
        if (!isDeadOrUnknown)
            next.names.push_back(name);
    }
    if (std::ranges::find(next.names, host.name) == next.names.end())
        next.names.push_back(host.name);
    if (next.names == next.previousNames)
        return;
    host.contact->requestRounds(local + 5s);
    if (!host.contact->rosterChangeAllowed(local))
        return;
    accessStore(
        host,
        [this, next] {
            if (roster.version + 1 == next.version)
                roster = next;
        },
        [](bool, Time) {});
}

void Fleet::pullRoster(SimulatedHost& host, const std::string& peerName)
{
    const auto peer = std::ranges::find(hosts, peerName, &SimulatedHost::name);
    const Time requestedAt = host.localTime(now);
    const Time peerNow = peer->localTime(now);
    const auto success = peer->contact->newestStoreSuccess();
    if (peer->running && peer->group == host.group && success)
        host.contact->setRoster(
            peer->contact->roster(), requestedAt - (peerNow - *success), RosterSource::Peer);
}

void Fleet::acquireSlots(SimulatedHost& host)
{
    const Time local = host.localTime(now);
    for (std::size_t i = 0; i < host.slotRows.size(); ++i) {
        const int slot = static_cast<int>(i);
        const SlotRow& row = host.slotRows[i];
        if (row.holder == host.name) {
            if (!mayServe(host, slot))
                acquire(host, slot, row.version);
            continue;
        }
        LeaseObserver& observer = host.observers[row.holder];
        if (observer.needsContactRounds(local))
            host.contact->requestRounds(local + 10s);
        const auto known = host.gossip->members().find(row.holder);
        const std::uint64_t incarnation
            = known == host.gossip->members().end() ? 0 : known->second.incarnation;
        const TakeoverCandidate candidate { row.incarnation, host.slotRowsReadAt, incarnation };
        if (row.incarnation != 0 && observer.takeoverAllowed(candidate, local, *host.contact))
            acquire(host, slot, row.version);
    }
}

void Fleet::acquire(SimulatedHost& host, int slot, std::uint64_t version)
{
    auto accepted = std::make_shared<bool>(false);
    accessStore(
        host,
        [this, slot, version, accepted, name = host.name, incarnation = host.incarnation] {
            SlotRow& row = slots[static_cast<std::size_t>(slot)];
            *accepted = row.version == version;
            if (*accepted)
                row = { name, incarnation, version + 1 };
        },
        [&host, slot, accepted, generation = host.lease.generation()](bool done, Time) {
            if (done && *accepted)
                host.heldSlots[slot] = generation;
        });
}

bool Fleet::mayServe(const SimulatedHost& host, int slot) const
{
    const auto held = host.heldSlots.find(slot);
    return host.running && held != host.heldSlots.end() && held->second == host.lease.generation()
        && host.lease.mayServe(host.localTime(now), *host.contact);
}

std::vector<int> Fleet::holderCounts() const
{
    std::vector<int> counts(slots.size());
    for (const SimulatedHost& host : hosts) {
        if (!host.running || !host.lease.mayServe(host.localTime(now), *host.contact))
            continue;
        for (const auto& [slot, generation] : host.heldSlots)
            counts[static_cast<std::size_t>(slot)] += generation == host.lease.generation() ? 1 : 0;
    }
    return counts;
}

ContactState Fleet::contactState(const SimulatedHost& host) const
{
    return host.contact->state(host.localTime(now));
}

const Member* Fleet::viewOf(const SimulatedHost& host, const SimulatedHost& other) const
{
    const auto found = host.gossip->members().find(other.name);
    return found == host.gossip->members().end() ? nullptr : &found->second;
}

bool Fleet::hasConverged() const
{
    return std::ranges::all_of(hosts, [&](const SimulatedHost& host) {
        return !host.running || std::ranges::all_of(hosts, [&](const SimulatedHost& other) {
            const Member* member = viewOf(host, other);
            if (!other.running)
                return !member || !member->isLive();
            return member && member->state == MemberState::Alive && member->incarnation == other.incarnation;
        });
    });
}
