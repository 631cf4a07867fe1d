#pragma once

#include "core/quota/draw.h"

#include <optional>

namespace Wire {
class DrawReply;
class DrawRequest;
}

namespace Daemon {

Wire::DrawRequest toMessage(const Quota::DrawRequest& request);
/// Returns `std::nullopt` if an amount is higher than any that hosts send.
std::optional<Quota::DrawRequest> fromMessage(const Wire::DrawRequest& message);

Wire::DrawReply toMessage(const Quota::DrawReply& reply);
/// Returns `std::nullopt` if an amount is higher than any that hosts send.
std::optional<Quota::DrawReply> fromMessage(const Wire::DrawReply& message);

}
