#pragma once

#include "core/proxy/command.h"

#include <string_view>

namespace Proxy {

/// A success that needed no upstream.
Reply localReply(TransactionState state, Model::LogPosition position);
Reply errorReply(ResultCode code, std::string_view text, TransactionState state);

}
