#pragma once

#include "core/membership/messages.h"

#include <optional>

namespace Wire {
class Envelope;
}

namespace Daemon {

Wire::Envelope toEnvelope(const Membership::OutgoingMessage& message);
/// Nothing if the envelope holds no membership message or a malformed one. Its values are checked by the
/// membership library.
std::optional<Membership::IncomingMessage> toGossip(const Wire::Envelope& envelope);

}
