#include "core/membership/gossip.h"

#include "core/membership/timing.h"

#include <algorithm>
#include <chrono>

namespace Membership {

namespace {

    using Kind = MemberEventKind;

    constexpr std::size_t indirectProbeCount = 3;
    /// Every fifth probe goes to a dead member, if there is one, so that a partition that heals is noticed.
    constexpr std::uint64_t deadProbeRatio = 5;
    /// Spare room in a message is used for this many random members, which corrects views that missed
    /// an update.
    constexpr std::size_t repairUpdates = 2;
    constexpr int retransmissionFactor = 4;
    /// With more unconfirmed members than this fraction, all room in a message is used for the repair.
    constexpr std::size_t startingFraction = 10;
    constexpr std::size_t maxSeedsAtOnce = 3;
    /// Allowed difference of the wall clocks of two hosts when their processes started.
    constexpr std::uint64_t maxClockDifferenceMs = 3'600'000;

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
        skipPause(now - *m_lastTick);
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

void Gossip::skipPause(Model::Duration pause)
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
            // Tells the member of the suspicion directly, so that it can refute it in time.
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
    removeForgotten(now, output);
    if (++m_probeCount % deadProbeRatio == 0) {
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

void Gossip::removeForgotten(Model::Time now, GossipOutput& output)
{
    std::vector<std::string> forgotten;
    for (const std::string& name : m_dead) {
        const Member& member = *findMember(name);
        if (!member.listed && now - member.stateSince >= deadRetention)
            forgotten.push_back(name);
    }
    for (const std::string& name : forgotten)
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
    // A few draws may hit the same member; in a small fleet there are fewer helpers.
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

Model::Result<GossipOutput> Gossip::handle(
    const IncomingMessage& message, Model::Time now, Generator& generator)
{
    if (auto result = check(message, now); !result)
        return tl::unexpected(result.error());
    const Payload& payload = payloadOf(message.body);
    GossipOutput output;
    const Member* known = findMember(message.sender);
    if (known && known->incarnation > message.incarnation)
        return output; // A late message of a process that has ended.
    for (const MemberUpdate& update : payload.updates)
        applyUpdate(update, now, output);
    known = findMember(message.sender);
    if (payload.catalogVersion > 0) {
        output.versionClaim
            = { message.sender, known ? known->address : std::string(), payload.catalogVersion };
        m_contact.catalogVersionKnown(payload.catalogVersion, now);
    }
    if (std::holds_alternative<Ping>(message.body))
        handlePing(message, now, generator, output);
    else if (std::holds_alternative<PingRequest>(message.body))
        handlePingRequest(message, now, generator, output);
    else
        handleAck(message, now, generator, output);
    return output;
}

Model::Result<void> Gossip::check(const IncomingMessage& message, Model::Time now) const
{
    using Model::ErrorCode;
    const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt).count();
    const std::uint64_t wallClock
        = incarnationMilliseconds(self().incarnation) + static_cast<std::uint64_t>(uptime);
    const std::uint64_t latestIncarnation = makeIncarnation(wallClock + maxClockDifferenceMs, 0xFFFF);
    if (auto result = validate(message, latestIncarnation); !result)
        return result;
    if (message.sender == m_name)
        return Model::makeError(ErrorCode::InvalidRequest, "sender has this host's own name");
    if (const auto* ack = std::get_if<Ack>(&message.body)) {
        const auto pending = m_pending.find(message.request);
        const bool isAnonymous = pending == m_pending.end() || pending->second.peer.empty();
        if (!isAnonymous && (pending->second.target != ack->name || pending->second.peer != message.sender))
            return Model::makeError(ErrorCode::InvalidRequest, "acknowledgement by another host");
    }
    return m_contact.check(payloadOf(message.body));
}

void Gossip::handlePing(
    const IncomingMessage& message, Model::Time now, Generator& generator, GossipOutput& output)
{
    const Member* sender = findMember(message.sender);
    const std::string address = sender ? sender->address : std::string();
    Ack ack { m_name, payloadFor(message.sender, now, generator) };
    m_contact.describeRound(ack.payload, now);
    output.messages.push_back({ message.sender, address, message.request, std::move(ack) });
    // Evidence counts only if this host asked for it, because a received ping may be arbitrarily old.
    if (sender && payloadOf(message.body).roundId > m_contact.roundId())
        sendExchange(sender->name, address, now, generator, output);
}

void Gossip::handlePingRequest(
    const IncomingMessage& message, Model::Time now, Generator& generator, GossipOutput& output)
{
    const auto& request = std::get<PingRequest>(message.body);
    const Member* sender = findMember(message.sender);
    const std::string senderAddress = sender ? sender->address : std::string();
    OutgoingMessage reply { message.sender, senderAddress, message.request, Ack { request.targetName, {} } };
    sendPing(request.targetName, request.targetAddress,
        { ExchangeKind::Relay, request.targetName, request.targetName, now, std::move(reply) }, generator,
        output);
}

void Gossip::handleAck(
    const IncomingMessage& message, Model::Time now, Generator& generator, GossipOutput& output)
{
    const auto found = m_pending.find(message.request);
    if (found == m_pending.end() || now - found->second.sentAt > probeTimeout)
        return;
    const auto& ack = std::get<Ack>(message.body);
    Pending pending = std::move(found->second);
    m_pending.erase(found);
    m_contact.merge(ack.payload, pending.sentAt, now);
    if (pending.kind == ExchangeKind::IndirectProbe) {
        m_probes.erase(pending.target);
        return;
    }
    confirmAlive(message.sender, message.incarnation, now, output);
    if (pending.kind == ExchangeKind::Relay) {
        auto& relayed = std::get<Ack>(pending.relayReply.body);
        relayed.payload = payloadFor(pending.relayReply.name, now, generator);
        m_contact.describeRound(relayed.payload, now);
        output.messages.push_back(std::move(pending.relayReply));
    }
}

void Gossip::confirmAlive(
    const std::string& name, std::uint64_t incarnation, Model::Time now, GossipOutput& output)
{
    m_probes.erase(name);
    Member* member = findMember(name);
    if (!member || member->incarnation >= incarnation)
        return;
    MemberUpdate update = *member;
    update.incarnation = incarnation;
    update.refutation = 0;
    update.state = MemberState::Alive;
    applyUpdate(update, now, output);
}

void Gossip::applyUpdate(const MemberUpdate& update, Model::Time now, GossipOutput& output)
{
    if (update.name == m_name) {
        applyUpdateAboutSelf(update, output);
        return;
    }
    auto [entry, isNew] = m_members.try_emplace(update.name);
    Member& member = entry->second;
    if (!isNew && !supersedes(update, member)) {
        // The sender follows a process that has ended, or missed the death; it is corrected.
        const bool missedDeath = member.state == MemberState::Dead && update.state != MemberState::Dead;
        if (update.incarnation < member.incarnation || missedDeath)
            m_updates.addIfAbsent(update.name);
        return;
    }
    const Member before = member;
    const bool isNewIncarnation = update.incarnation > before.incarnation;
    static_cast<MemberUpdate&>(member) = update;
    member.leaving = update.state == MemberState::Leaving || (before.leaving && !isNewIncarnation);
    // A process that is first heard of counts as alive before the state of the update.
    member.state = isNewIncarnation ? MemberState::Alive : before.state;
    indexState(member);
    if (isNew)
        m_liveMembersValid = false;
    else if (before.isUnconfirmed())
        --m_unconfirmedCount;
    // A suspicion that was refuted and raised again has its full time.
    if (member.state == MemberState::Suspect)
        member.stateSince = now;
    // That a listed host is alive is no news; otherwise the start of a whole fleet delays other updates.
    if (!before.isUnconfirmed() || isNew || update.state != MemberState::Alive)
        m_updates.add(update.name);
    if (isNew)
        output.events.push_back({ Kind::Joined, update.name, update.incarnation });
    else if (isNewIncarnation && !before.isUnconfirmed())
        output.events.push_back({ Kind::Restarted, update.name, update.incarnation });
    else if (isNewIncarnation && !before.isLive())
        output.events.push_back({ Kind::Recovered, update.name, update.incarnation });
    if (member.state != update.state)
        changeState(member, update.state, now, output);
}

void Gossip::applyUpdateAboutSelf(const MemberUpdate& update, GossipOutput& output)
{
    const Member& own = self();
    if (update.incarnation > own.incarnation) {
        output.events.push_back({ Kind::Superseded, m_name, update.incarnation });
        return;
    }
    if (!supersedes(update, own)) {
        // The sender still believes what was refuted: the refutation may have been lost everywhere.
        if (update.incarnation < own.incarnation || update.refutation < own.refutation)
            m_updates.add(m_name);
        return;
    }
    findMember(m_name)->refutation = update.refutation;
    refute();
}

void Gossip::refute()
{
    ++findMember(m_name)->refutation;
    m_updates.add(m_name);
}

void Gossip::changeState(Member& member, MemberState state, Model::Time now, GossipOutput& output)
{
    const MemberState before = member.state;
    member.state = state;
    member.stateSince = now;
    indexState(member);
    if (!member.isUnconfirmed())
        m_updates.add(member.name);
    Kind kind = Kind::Recovered;
    if (state == MemberState::Dead)
        kind = Kind::Died;
    else if (state == MemberState::Suspect)
        kind = Kind::Suspected;
    else if (state == MemberState::Leaving && before == MemberState::Alive)
        kind = Kind::Leaving;
    output.events.push_back({ kind, member.name, member.incarnation });
}

void Gossip::indexState(const Member& member)
{
    const bool wasDead = m_dead.erase(member.name) > 0;
    m_suspects.erase(member.name);
    if (member.state == MemberState::Suspect)
        m_suspects.insert(member.name);
    if (member.state == MemberState::Dead)
        m_dead.insert(member.name);
    if (wasDead == member.isLive())
        m_liveMembersValid = false;
}

Payload Gossip::payloadFor(std::string_view receiver, Model::Time now, Generator& generator)
{
    Payload payload;
    m_contact.describe(payload, now);
    const auto add = [&](const Member* member) {
        const auto isSame = [&](const MemberUpdate& update) { return update.name == member->name; };
        if (member && !member->isUnconfirmed() && payload.updates.size() < maxUpdates
            && std::ranges::none_of(payload.updates, isSame))
            payload.updates.push_back(*member);
    };
    const Member* peer = findMember(receiver);
    // The receiver may not know this host, or may have been told that it is dead.
    if (!peer || peer->isUnconfirmed() || peer->state != MemberState::Alive)
        add(&self());
    // A receiver that is suspected or held dead can refute only what it is told.
    if (peer && peer->state != MemberState::Alive)
        add(peer);
    for (const std::string& name : m_updates.take(maxUpdates - payload.updates.size(), transmissionLimit()))
        add(findMember(name));
    // While this host has unconfirmed members, others probably have them as well: a fleet that starts.
    const bool isStarting = m_unconfirmedCount > m_members.size() / startingFraction;
    const std::size_t wanted = isStarting ? maxUpdates : payload.updates.size() + repairUpdates;
    // A host that joined with an old live-host list learns of dead members only in this way.
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
    // Every member is probed once, in random order, before any is probed again.
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
