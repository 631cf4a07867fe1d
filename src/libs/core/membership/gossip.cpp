#include "core/membership/gossip.h"

#include "core/membership/timing.h"

#include <algorithm>
#include <chrono>

namespace Membership {

namespace {

    using Kind = MemberEventKind;

    constexpr std::size_t indirectProbeCount = 3;
    /// Every fifth probe is accompanied by an exchange with a dead member, if there is one, so that the end
    /// of a network partition is noticed.
    constexpr std::uint64_t probesPerDeadExchange = 5;
    /// Maximum number of random members that are added to a message with free space. They correct views that
    /// missed an update.
    constexpr std::size_t repairUpdates = 2;
    /// An update is transmitted this many times for each decimal digit of the number of members.
    constexpr int retransmissionFactor = 4;
    /// If more than one in this many members is unconfirmed, all free space in a message is filled with
    /// random members.
    constexpr std::size_t startupDivisor = 10;
    constexpr std::size_t maxSeedsAtOnce = 3;

    std::size_t randomIndex(std::size_t size, Gossip::Generator& generator)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(generator);
    }

}

Gossip::Gossip(LocalHost self, Model::Time startedAt, ContactTracker& contact)
    : m_name(self.name)
    , m_startedAt(startedAt)
    , m_contact(contact)
    , m_lastRequest(self.incarnation)
    , m_nextProbeAt(startedAt)
    , m_nextExchangeAt(startedAt)
    , m_nextSeedContactAt(startedAt)
{
    nextRequest = [this] { return ++m_lastRequest; };
    Member member;
    member.name = self.name;
    member.address = std::move(self.address);
    member.zone = std::move(self.zone);
    member.incarnation = self.incarnation;
    member.stateSince = startedAt;
    m_members.emplace(m_name, std::move(member));
    m_updates.add(m_name);
}

void Gossip::setSeeds(std::vector<std::string> addresses) { m_seeds = std::move(addresses); }

GossipOutput Gossip::setLiveHosts(const std::vector<ListedHost>& hosts, Model::Time now)
{
    GossipOutput output;
    if (hosts.empty())
        return output;
    for (auto& [name, member] : m_members)
        member.listed = false;
    for (const ListedHost& host : hosts) {
        auto [entry, isNew] = m_members.try_emplace(host.name);
        Member& member = entry->second;
        member.listed = true;
        if (!isNew)
            continue;
        member.name = host.name;
        member.address = host.address;
        member.zone = host.zone;
        member.leaving = host.leaving;
        member.stateSince = now;
        ++m_unconfirmedCount;
        m_liveMembersValid = false;
        output.events.push_back({ Kind::Joined, host.name, 0 });
    }
    std::vector<std::string> unlisted;
    for (const auto& [name, member] : m_members) {
        if (member.isUnconfirmed() && !member.listed)
            unlisted.push_back(name);
    }
    for (const std::string& name : unlisted)
        removeMember(name, output);
    return output;
}

GossipOutput Gossip::tick(Model::Time now, Generator& generator)
{
    GossipOutput output;
    if (m_lastTick && now - *m_lastTick > pauseThreshold)
        compensatePause(now - *m_lastTick);
    m_lastTick = now;
    advanceProbes(now, generator, output);
    advanceSuspicions(now, output);
    startDueProbe(now, generator, output);
    contactSeeds(now, generator, output);
    m_contact.startRoundIfNeeded(now, generator);
    if (m_contact.needsExchange(now) && now >= m_nextExchangeAt) {
        m_nextExchangeAt = now + exchangeInterval;
        exchangeWithRandomMember(now, generator, output);
    }
    return output;
}

void Gossip::compensatePause(Model::Duration pause)
{
    m_probes.clear();
    for (const std::string& name : m_suspects)
        findMember(name)->stateSince += pause;
}

void Gossip::advanceProbes(Model::Time now, Generator& generator, GossipOutput& output)
{
    std::erase_if(m_pending, [&](const auto& entry) { return now - entry.second.sentAt > probeTimeout; });
    for (auto entry = m_probes.begin(); entry != m_probes.end();) {
        auto& [name, probe] = *entry;
        Member* member = findMember(name);
        if (!member || member->state == MemberState::Dead || member->incarnation != probe.incarnation) {
            entry = m_probes.erase(entry);
            continue;
        }
        if (now - probe.startedAt >= probeTimeout) {
            if (member->state != MemberState::Suspect)
                changeState(*member, MemberState::Suspect, now, output);
            // Notifies the member of the suspicion directly, so that it can refute it in time.
            sendExchange(name, member->address, now, generator, output);
            entry = m_probes.erase(entry);
            continue;
        }
        if (!probe.indirectSent && now - probe.startedAt >= indirectProbeDelay) {
            probe.indirectSent = true;
            sendIndirectProbes(name, now, generator, output);
        }
        ++entry;
    }
}

void Gossip::advanceSuspicions(Model::Time now, GossipOutput& output)
{
    const std::vector<std::string> suspects(m_suspects.begin(), m_suspects.end());
    for (const std::string& name : suspects) {
        Member& member = *findMember(name);
        if (now - member.stateSince >= suspicionTimeout)
            changeState(member, MemberState::Dead, now, output);
    }
}

void Gossip::startDueProbe(Model::Time now, Generator& generator, GossipOutput& output)
{
    if (now < m_nextProbeAt)
        return;
    m_nextProbeAt = std::max(m_nextProbeAt + probeInterval, now + probeInterval / 2);
    removeExpiredMembers(now, output);
    if (++m_probeCount % probesPerDeadExchange == 0) {
        if (const Member* dead = randomDeadMember(generator)) {
            sendExchange(dead->name, dead->address, now, generator, output);
        }
    }
    if (const Member* target = nextProbeTarget(generator))
        sendProbe(*target, now, generator, output);
}

void Gossip::exchangeWithRandomMember(Model::Time now, Generator& generator, GossipOutput& output)
{
    if (const Member* member = randomLiveMember(generator)) {
        sendExchange(member->name, member->address, now, generator, output);
    }
}

void Gossip::contactSeeds(Model::Time now, Generator& generator, GossipOutput& output)
{
    if (m_seeds.empty() || now < m_nextSeedContactAt)
        return;
    const bool isAlone = liveMembers().empty();
    m_nextSeedContactAt = now + (isAlone ? probeInterval : seedInterval);
    const std::size_t count = std::min(isAlone ? maxSeedsAtOnce : 1, m_seeds.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::string& address = m_seeds[m_nextSeed++ % m_seeds.size()];
        const bool isKnown = std::ranges::any_of(m_members,
            [&](const auto& entry) { return entry.second.address == address && entry.second.isLive(); });
        if (!isKnown)
            sendExchange({}, address, now, generator, output);
    }
}

void Gossip::removeExpiredMembers(Model::Time now, GossipOutput& output)
{
    std::vector<std::string> expired;
    for (const std::string& name : m_dead) {
        const Member& member = *findMember(name);
        if (!member.listed && now - member.stateSince >= deadRetention)
            expired.push_back(name);
    }
    for (const std::string& name : expired)
        removeMember(name, output);
}

void Gossip::removeMember(const std::string& name, GossipOutput& output)
{
    const Member& member = *findMember(name);
    output.events.push_back({ Kind::Removed, name, member.incarnation });
    m_unconfirmedCount -= member.isUnconfirmed() ? 1 : 0;
    m_updates.remove(name);
    m_suspects.erase(name);
    m_dead.erase(name);
    m_members.erase(name);
    m_liveMembersValid = false;
}

void Gossip::sendProbe(const Member& target, Model::Time now, Generator& generator, GossipOutput& output)
{
    m_probes[target.name] = { target.incarnation, now, false };
    sendPing(target.name, target.address, { ExchangeKind::Probe, target.name, target.name, now, {} },
        generator, output);
}

void Gossip::sendIndirectProbes(
    const std::string& target, Model::Time now, Generator& generator, GossipOutput& output)
{
    const Member& member = *findMember(target);
    std::vector<std::string> helpers;
    // The number of draws is limited, because draws may select the same member repeatedly and a small fleet
    // has fewer members than are wanted.
    for (std::size_t draw = 0; draw < 3 * indirectProbeCount && helpers.size() < indirectProbeCount; ++draw) {
        const Member* helper = randomLiveMember(generator, target);
        if (!helper || std::ranges::find(helpers, helper->name) != helpers.end())
            continue;
        helpers.push_back(helper->name);
        const std::uint64_t request = nextRequest();
        m_pending[request] = { ExchangeKind::IndirectProbe, target, helper->name, now, {} };
        output.messages.push_back({ helper->name, helper->address, request,
            PingRequest { target, member.address, payloadFor(helper->name, now, generator) } });
    }
}

void Gossip::sendPing(const std::string& name, const std::string& address, Pending pending,
    Generator& generator, GossipOutput& output)
{
    const Model::Time now = pending.sentAt;
    const std::uint64_t request = nextRequest();
    m_pending[request] = std::move(pending);
    output.messages.push_back({ name, address, request, Ping { payloadFor(name, now, generator) } });
}

void Gossip::sendExchange(const std::string& name, const std::string& address, Model::Time now,
    Generator& generator, GossipOutput& output)
{
    sendPing(name, address, { ExchangeKind::Exchange, name, name, now, {} }, generator, output);
}

GossipOutput Gossip::probeNow(std::string_view name, Model::Time now, Generator& generator)
{
    GossipOutput output;
    const Member* member = findMember(name);
    if (member && member->isLive() && member->name != m_name && !m_probes.contains(name))
        sendProbe(*member, now, generator, output);
    return output;
}

GossipOutput Gossip::leave(Model::Time now, Generator& generator)
{
    GossipOutput output;
    Member& own = *findMember(m_name);
    if (own.leaving)
        return output;
    own.leaving = true;
    own.state = MemberState::Leaving;
    refute();
    for (std::size_t i = 0; i < indirectProbeCount; ++i)
        exchangeWithRandomMember(now, generator, output);
    return output;
}

Payload Gossip::payloadFor(std::string_view receiver, Model::Time now, Generator& generator)
{
    Payload payload;
    m_contact.fillPayload(payload, now);
    const auto add = [&](const Member* member) {
        const auto isSame = [&](const MemberUpdate& update) { return update.name == member->name; };
        if (member && !member->isUnconfirmed() && payload.updates.size() < maxUpdates
            && std::ranges::none_of(payload.updates, isSame))
            payload.updates.push_back(*member);
    };
    const Member* peer = findMember(receiver);
    // The receiver may not know this host, or may consider it dead.
    if (!peer || peer->isUnconfirmed() || peer->state != MemberState::Alive)
        add(&self());
    // A receiver can refute only a suspicion or a death that it knows of.
    if (peer && peer->state != MemberState::Alive)
        add(peer);
    for (const std::string& name : m_updates.take(maxUpdates - payload.updates.size(), transmissionLimit()))
        add(findMember(name));
    // If this host has many unconfirmed members, the whole fleet is probably starting, and other hosts have
    // unconfirmed members as well.
    const bool isStarting = m_unconfirmedCount > m_members.size() / startupDivisor;
    const std::size_t wanted = isStarting ? maxUpdates : payload.updates.size() + repairUpdates;
    // A host that joined with an outdated live-host list receives the state of dead members only in this way.
    add(randomDeadMember(generator));
    for (std::size_t draw = 0; draw < 2 * maxUpdates && payload.updates.size() < wanted; ++draw)
        add(randomLiveMember(generator));
    return payload;
}

int Gossip::transmissionLimit() const
{
    int digits = 1;
    for (std::size_t size = m_members.size(); size >= 10; size /= 10)
        ++digits;
    return retransmissionFactor * digits;
}

const std::vector<const Member*>& Gossip::liveMembers()
{
    if (m_liveMembersValid)
        return m_liveMembers;
    m_liveMembers.clear();
    for (const auto& [name, member] : m_members) {
        if (member.isLive() && name != m_name)
            m_liveMembers.push_back(&member);
    }
    m_liveMembersValid = true;
    return m_liveMembers;
}

const Member* Gossip::randomLiveMember(Generator& generator, std::string_view except)
{
    const std::vector<const Member*>& members = liveMembers();
    if (members.empty())
        return nullptr;
    const Member* member = members[randomIndex(members.size(), generator)];
    return member->name == except ? nullptr : member;
}

const Member* Gossip::nextProbeTarget(Generator& generator)
{
    // Probes all members once in random order before any member is probed again.
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!m_probeOrder.empty()) {
            const std::string name = std::move(m_probeOrder.back());
            m_probeOrder.pop_back();
            const Member* member = findMember(name);
            if (member && member->isLive() && !m_probes.contains(name))
                return member;
        }
        for (const Member* member : liveMembers())
            m_probeOrder.push_back(member->name);
        std::ranges::shuffle(m_probeOrder, generator);
    }
    return nullptr;
}

const Member* Gossip::randomDeadMember(Generator& generator) const
{
    if (m_dead.empty())
        return nullptr;
    const auto offset = static_cast<std::ptrdiff_t>(randomIndex(m_dead.size(), generator));
    return &m_members.find(*std::next(m_dead.begin(), offset))->second;
}

Member* Gossip::findMember(std::string_view name)
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

}
