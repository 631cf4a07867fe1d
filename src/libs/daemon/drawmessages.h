#pragma once

#include "core/quota/draw.h"

#include <optional>

namespace Wire {
class DrawReply;
class DrawRequest;
}

namespace Daemon {

Wire::DrawRequest toMessage(const Quota::DrawRequest& request);
/// Nothing for amounts that no host sends.
std::optional<Quota::DrawRequest> fromMessage(const Wire::DrawRequest& message);

Wire::DrawReply toMessage(const Quota::DrawReply& reply);
std::optional<Quota::DrawReply> fromMessage(const Wire::DrawReply& message);

}
