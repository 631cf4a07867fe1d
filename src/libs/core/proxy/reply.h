#pragma once

#include "core/proxy/command.h"

#include <string_view>

namespace Proxy {

/// The reply to a statement that succeeded without an upstream.
Reply localReply(TransactionState state, Model::LogPosition position);
Reply errorReply(ResultCode code, std::string_view text, TransactionState state);

}
