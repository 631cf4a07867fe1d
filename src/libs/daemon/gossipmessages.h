#pragma once

#include "core/membership/messages.h"

#include <optional>

namespace Wire {
class Envelope;
}

namespace Daemon {

Wire::Envelope toEnvelope(const Membership::OutgoingMessage& message);
/// Returns `std::nullopt` if the envelope contains no membership message or a malformed one. The values in
/// the message are checked by the membership library.
std::optional<Membership::IncomingMessage> toGossip(const Wire::Envelope& envelope);

}
