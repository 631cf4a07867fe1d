#pragma once

#include "core/membership/contactbitmap.h"
#include "core/membership/member.h"
#include "core/model/result.h"
#include "core/model/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Membership {

/// Maximum number of member updates in one message.
constexpr std::size_t maxUpdates = 6;

/// The state of a contact round, docs/design.md 6.8.
struct RoundReport {
    /// Number of the round << 32 | 32 random bits from the host that started it.
    std::uint64_t id = 0;
    /// Upper bound of the time since the round started.
    Model::Duration age {};
    /// Age of the newest store success that was known to the host that started the round. Every host in
    /// the bitmap knows of that success. Empty if no success was known.
    std::optional<Model::Duration> storeSuccessAge;
    /// The newest roster version known to the host that started the round, and thus to every host in the
    /// bitmap.
    std::uint64_t rosterVersion = 0;
    /// The hosts that have taken part in the round, as far as the sender knows.
    ContactBitmap hosts;
};

/// Information that every message carries.
struct Payload {
    std::vector<MemberUpdate> updates;
    /// The catalogue version in force at the sender, 0 if none.
    std::uint64_t catalogVersion = 0;
    /// The newest roster version that the sender knows of, 0 if none.
    std::uint64_t rosterVersion = 0;
    /// Upper bound of the age of the newest store success that the sender knows of, empty if none.
    std::optional<Model::Duration> storeSuccessAge;
    /// The sender's current contact round, 0 if none.
    std::uint64_t roundId = 0;
    /// Only in acknowledgements. The receiver counts its ages back from the time at which the ping was sent.
    std::optional<RoundReport> round;
};

struct Ping {
    Payload payload;
};

/// Requests that the receiver probe the target on behalf of the sender.
struct PingRequest {
    std::string targetName;
    std::string targetAddress;
    Payload payload;
};

struct Ack {
    /// The host that acknowledged the ping. Differs from the sender for an indirect probe.
    std::string name;
    Payload payload;
};

using Body = std::variant<Ping, PingRequest, Ack>;

struct OutgoingMessage {
    /// Empty for a seed whose name is not known yet.
    std::string name;
    /// Empty for a reply to a host of unknown address: the reply is sent over the route of the request.
    std::string address;
    /// Number of the request, unique within the sender's incarnation. An acknowledgement repeats the number
    /// of the request.
    std::uint64_t request = 0;
    Body body;
};

struct IncomingMessage {
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t request = 0;
    Body body;
};

/// Checks all fields of a message against their limits. `latestIncarnation` is the highest incarnation that
/// is accepted. Errors: `InvalidRequest` with the name of the field.
Model::Result<void> validate(const IncomingMessage& message, std::uint64_t latestIncarnation);

const Payload& payloadOf(const Body& body);

/// The size of the message as a protobuf envelope, in bytes, without framing.
std::size_t encodedSize(const OutgoingMessage& message, const std::string& sender);

}
