#include "core/membership/messages.h"

#include <algorithm>
#include <bit>

namespace Membership {

namespace {

    using Model::ErrorCode;
    using Model::makeError;
    using namespace std::chrono_literals;

    constexpr std::size_t maxNameLength = 64;
    constexpr std::uint32_t maxRefutation = 1U << 24;
    /// Maximum age of a round or a store success. Exceeds the duration of any store outage; an older success
    /// cannot be used.
    constexpr Model::Duration maxAge = 24h * 30;

    bool isValidName(const std::string& text) { return !text.empty() && text.size() <= maxNameLength; }

    bool isValidAge(Model::Duration age) { return age >= Model::Duration::zero() && age <= maxAge; }

    bool isValidIncarnation(std::uint64_t incarnation, std::uint64_t latest)
    {
        return incarnation != 0 && incarnation <= latest;
    }

    Model::Result<void> validateUpdate(const MemberUpdate& update, std::uint64_t latestIncarnation)
    {
        if (!isValidName(update.name) || !isValidName(update.address) || !isValidName(update.zone))
            return makeError(
                ErrorCode::InvalidRequest, "member update: name, address or zone is empty or too long");
        if (!isValidIncarnation(update.incarnation, latestIncarnation))
            return makeError(ErrorCode::InvalidRequest, "member update: incarnation is 0 or too high");
        if (update.refutation > maxRefutation)
            return makeError(ErrorCode::InvalidRequest, "member update: refutation number is too high");
        if (update.state > MemberState::Leaving)
            return makeError(ErrorCode::InvalidRequest, "member update: unknown state");
        return {};
    }

    Model::Result<void> validateRound(const Payload& payload)
    {
        const RoundReport& round = *payload.round;
        if (round.id == 0 || round.id != payload.roundId || !isValidAge(round.age))
            return makeError(ErrorCode::InvalidRequest,
                "contact round: id is 0 or differs from the payload, or age is out of range");
        // The sender knows all information in the round, so the payload's own values must be at least as new.
        if (round.rosterVersion > payload.rosterVersion)
            return makeError(
                ErrorCode::InvalidRequest, "contact round: roster version is newer than that of the payload");
        if (!round.storeSuccessAge)
            return {};
        if (!isValidAge(*round.storeSuccessAge) || !payload.storeSuccessAge
            || *payload.storeSuccessAge > *round.storeSuccessAge)
            return makeError(ErrorCode::InvalidRequest,
                "contact round: store success age is out of range or inconsistent with the payload");
        return {};
    }

    Model::Result<void> validatePayload(const Payload& payload, std::uint64_t latestIncarnation)
    {
        if (payload.updates.size() > maxUpdates)
            return makeError(ErrorCode::InvalidRequest, "too many member updates");
        for (const MemberUpdate& update : payload.updates) {
            if (auto result = validateUpdate(update, latestIncarnation); !result)
                return result;
        }
        if (payload.storeSuccessAge && !isValidAge(*payload.storeSuccessAge))
            return makeError(ErrorCode::InvalidRequest, "store success age is out of range");
        if (payload.round)
            return validateRound(payload);
        return {};
    }

    std::size_t varintSize(std::uint64_t value)
    {
        return (static_cast<std::size_t>(std::bit_width(value | 1)) + 6) / 7;
    }

    /// Size of a length-delimited field with a one-byte tag.
    std::size_t fieldSize(std::size_t length) { return 1 + varintSize(length) + length; }

    std::size_t ageSize(Model::Duration age)
    {
        return 1 + varintSize(static_cast<std::uint64_t>(age / Model::Duration(1ms)));
    }

    std::size_t updateSize(const MemberUpdate& update)
    {
        constexpr std::size_t incarnationAndState = 9 + 2;
        return fieldSize(update.name.size()) + fieldSize(update.address.size())
            + fieldSize(update.zone.size()) + incarnationAndState + 1 + varintSize(update.refutation);
    }

    std::size_t payloadSize(const Payload& payload)
    {
        std::size_t size = 2 + varintSize(payload.catalogVersion) + varintSize(payload.rosterVersion);
        for (const MemberUpdate& update : payload.updates)
            size += fieldSize(updateSize(update));
        if (payload.storeSuccessAge)
            size += ageSize(*payload.storeSuccessAge);
        if (payload.roundId != 0)
            size += 9;
        if (payload.round) {
            std::size_t roundSize = 9 + ageSize(payload.round->age) + fieldSize(ContactBitmap::byteCount) + 1
                + varintSize(payload.round->rosterVersion);
            if (payload.round->storeSuccessAge)
                roundSize += ageSize(*payload.round->storeSuccessAge);
            size += fieldSize(roundSize);
        }
        return size;
    }

}

Model::Result<void> validate(const IncomingMessage& message, std::uint64_t latestIncarnation)
{
    if (!isValidName(message.sender) || !isValidIncarnation(message.incarnation, latestIncarnation))
        return makeError(
            ErrorCode::InvalidRequest, "sender: name is empty or too long, or incarnation is 0 or too high");
    if (const auto* request = std::get_if<PingRequest>(&message.body)) {
        if (!isValidName(request->targetName) || !isValidName(request->targetAddress))
            return makeError(ErrorCode::InvalidRequest,
                "ping request: name or address of the target is empty or too long");
    }
    if (const auto* ack = std::get_if<Ack>(&message.body)) {
        if (!isValidName(ack->name))
            return makeError(ErrorCode::InvalidRequest, "acknowledgement: host name is empty or too long");
    } else if (payloadOf(message.body).round) {
        return makeError(ErrorCode::InvalidRequest, "contact round outside of an acknowledgement");
    }
    return validatePayload(payloadOf(message.body), latestIncarnation);
}

const Payload& payloadOf(const Body& body)
{
    return std::visit([](const auto& typed) -> const Payload& { return typed.payload; }, body);
}

std::size_t encodedSize(const OutgoingMessage& message, const std::string& sender)
{
    std::size_t size = fieldSize(payloadSize(payloadOf(message.body)));
    if (const auto* request = std::get_if<PingRequest>(&message.body))
        size += fieldSize(request->targetName.size()) + fieldSize(request->targetAddress.size());
    if (const auto* ack = std::get_if<Ack>(&message.body))
        size += fieldSize(ack->name.size());
    constexpr std::size_t incarnationAndReply = 9 + 2;
    return fieldSize(size) + 1 + varintSize(message.request) + incarnationAndReply + fieldSize(sender.size());
}

}
