#include "daemon/gossipmessages.h"

#include "wire/peer.pb.h"

#include <bit>
#include <cstring>

namespace Daemon {

using Membership::ContactBitmap;
using Membership::Payload;
using std::chrono::milliseconds;

namespace {

    static_assert(std::endian::native == std::endian::little,
        "the contact bitmap is sent in little-endian byte order, as of x86 and ARM");

    /// Ages are upper bounds, so they are rounded up.
    std::uint64_t toAgeMs(Model::Duration age)
    {
        return static_cast<std::uint64_t>(
            std::max<std::int64_t>(std::chrono::ceil<milliseconds>(age).count(), 0));
    }

    /// Limits the age, as larger values would overflow a duration in microseconds. The membership library
    /// rejects ages that large in any case.
    Model::Duration fromAgeMs(std::uint64_t age)
    {
        constexpr std::uint64_t maxAgeMs = std::uint64_t { 1 } << 40U;
        return milliseconds(std::min(age, maxAgeMs));
    }

    void fillRound(const Membership::RoundReport& report, Wire::ContactRound& round)
    {
        round.set_id(report.id);
        round.set_age_ms(toAgeMs(report.age));
        if (report.storeSuccessAge)
            round.set_store_success_age_ms(toAgeMs(*report.storeSuccessAge));
        round.set_roster_version(report.rosterVersion);
        round.set_hosts(report.hosts.words().data(), ContactBitmap::byteCount);
    }

    void fillGossip(const Payload& payload, Wire::Gossip& gossip)
    {
        for (const Membership::MemberUpdate& update : payload.updates) {
            Wire::MemberUpdate* added = gossip.add_updates();
            added->set_name(update.name);
            added->set_address(update.address);
            added->set_zone(update.zone);
            added->set_incarnation(update.incarnation);
            added->set_refutation(update.refutation);
            added->set_state(static_cast<Wire::MemberState>(update.state));
        }
        gossip.set_catalog_version(payload.catalogVersion);
        if (payload.storeSuccessAge)
            gossip.set_store_success_age_ms(toAgeMs(*payload.storeSuccessAge));
        gossip.set_round_id(payload.roundId);
        gossip.set_roster_version(payload.rosterVersion);
        if (payload.round)
            fillRound(*payload.round, *gossip.mutable_round());
    }

    std::optional<Membership::RoundReport> readRound(const Wire::ContactRound& round)
    {
        if (round.hosts().size() != ContactBitmap::byteCount)
            return std::nullopt;
        Membership::RoundReport report;
        report.id = round.id();
        report.age = fromAgeMs(round.age_ms());
        if (round.has_store_success_age_ms())
            report.storeSuccessAge = fromAgeMs(round.store_success_age_ms());
        report.rosterVersion = round.roster_version();
        ContactBitmap::Words words {};
        std::memcpy(words.data(), round.hosts().data(), ContactBitmap::byteCount);
        report.hosts = ContactBitmap(words);
        return report;
    }

    std::optional<Payload> readGossip(const Wire::Gossip& gossip)
    {
        Payload payload;
        for (const Wire::MemberUpdate& update : gossip.updates()) {
            if (!Wire::MemberState_IsValid(update.state()))
                return std::nullopt;
            payload.updates.push_back({ update.name(), update.address(), update.zone(), update.incarnation(),
                update.refutation(), static_cast<Membership::MemberState>(update.state()) });
        }
        payload.catalogVersion = gossip.catalog_version();
        if (gossip.has_store_success_age_ms())
            payload.storeSuccessAge = fromAgeMs(gossip.store_success_age_ms());
        payload.roundId = gossip.round_id();
        payload.rosterVersion = gossip.roster_version();
        if (gossip.has_round()) {
            payload.round = readRound(gossip.round());
            if (!payload.round)
                return std::nullopt;
        }
        return payload;
    }

    std::optional<Membership::Body> readBody(const Wire::Envelope& envelope)
    {
        switch (envelope.body_case()) {
        case Wire::Envelope::kPing:
            if (auto payload = readGossip(envelope.ping().gossip()))
                return Membership::Ping { std::move(*payload) };
            return std::nullopt;
        case Wire::Envelope::kPingRequest:
            if (auto payload = readGossip(envelope.ping_request().gossip()))
                return Membership::PingRequest { envelope.ping_request().target_name(),
                    envelope.ping_request().target_address(), std::move(*payload) };
            return std::nullopt;
        case Wire::Envelope::kAck:
            if (auto payload = readGossip(envelope.ack().gossip()))
                return Membership::Ack { envelope.ack().name(), std::move(*payload) };
            return std::nullopt;
        default:
            return std::nullopt;
        }
    }

}

Wire::Envelope toEnvelope(const Membership::OutgoingMessage& message)
{
    Wire::Envelope envelope;
    const Payload& payload = Membership::payloadOf(message.body);
    if (const auto* request = std::get_if<Membership::PingRequest>(&message.body)) {
        Wire::PingRequest* body = envelope.mutable_ping_request();
        body->set_target_name(request->targetName);
        body->set_target_address(request->targetAddress);
        fillGossip(payload, *body->mutable_gossip());
    } else if (const auto* ack = std::get_if<Membership::Ack>(&message.body)) {
        Wire::Ack* body = envelope.mutable_ack();
        body->set_name(ack->name);
        fillGossip(payload, *body->mutable_gossip());
    } else {
        fillGossip(payload, *envelope.mutable_ping()->mutable_gossip());
    }
    return envelope;
}

std::optional<Membership::IncomingMessage> toGossip(const Wire::Envelope& envelope)
{
    auto body = readBody(envelope);
    if (!body)
        return std::nullopt;
    return Membership::IncomingMessage { envelope.sender(), envelope.incarnation(), envelope.request(),
        std::move(*body) };
}

}
