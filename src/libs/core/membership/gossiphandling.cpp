#include "core/membership/gossip.h"
#include "core/membership/timing.h"

#include <algorithm>
#include <chrono>

namespace Membership {

namespace {

    using Kind = MemberEventKind;

    /// Maximum difference, in ms, between the wall clocks of two hosts at the start of their processes.
    constexpr std::uint64_t maxClockDifferenceMs = 3'600'000;

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
        return output; // A late message from an earlier incarnation.
    for (const MemberUpdate& update : payload.updates)
        applyUpdate(update, now, output);
    known = findMember(message.sender);
    if (payload.catalogVersion > 0) {
        output.versionAnnouncement
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
        const bool isPeerUnknown = pending == m_pending.end() || pending->second.peer.empty();
        if (!isPeerUnknown && (pending->second.target != ack->name || pending->second.peer != message.sender))
            return Model::makeError(ErrorCode::InvalidRequest,
                "acknowledgement does not match the peer or the target of the request");
    }
    return m_contact.check(payloadOf(message.body));
}

void Gossip::handlePing(
    const IncomingMessage& message, Model::Time now, Generator& generator, GossipOutput& output)
{
    const Member* sender = findMember(message.sender);
    const std::string address = sender ? sender->address : std::string();
    Ack ack { m_name, payloadFor(message.sender, now, generator) };
    m_contact.fillRound(ack.payload, now);
    output.messages.push_back({ message.sender, address, message.request, std::move(ack) });
    // A received ping may be arbitrarily old, so only acknowledgements to this host's own pings are evidence.
    // This host therefore sends a ping of its own to obtain the state of the newer round.
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
        m_contact.fillRound(relayed.payload, now);
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
        // The sender knows only an earlier incarnation, or doesn't know that the member is dead. Passing on
        // the member's state corrects the sender.
        const bool missedDeath = member.state == MemberState::Dead && update.state != MemberState::Dead;
        if (update.incarnation < member.incarnation || missedDeath)
            m_updates.addIfAbsent(update.name);
        return;
    }
    const Member before = member;
    const bool isNewIncarnation = update.incarnation > before.incarnation;
    static_cast<MemberUpdate&>(member) = update;
    member.leaving = update.state == MemberState::Leaving || (before.leaving && !isNewIncarnation);
    // A new incarnation counts as alive before the update, so that `changeState` reports any other state.
    member.state = isNewIncarnation ? MemberState::Alive : before.state;
    indexState(member);
    if (isNew)
        m_liveMembersValid = false;
    else if (before.isUnconfirmed())
        --m_unconfirmedCount;
    // A suspicion that was refuted and raised again gets the full suspicion time-out.
    if (member.state == MemberState::Suspect)
        member.stateSince = now;
    // The first confirmation that a listed host is alive is not passed on. Otherwise the start of a whole
    // fleet would delay other updates.
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
        // The sender doesn't know the refutation. It may not have reached any host, so it is sent again.
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

}
