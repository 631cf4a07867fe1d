#pragma once

#include "core/model/logposition.h"
#include "core/proxy/resultcode.h"
#include "core/proxy/statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Proxy {

using SessionId = std::uint64_t;
using ConnectionId = std::uint64_t;

enum class TransactionState : std::uint8_t { None, Open, Failed };

/// A complete reply to a statement, received from an upstream or sent to a caller.
struct Reply {
    std::vector<std::string> rows;
    ResultCode code = ResultCode::Complete;
    /// The upstream's receipt for a completed statement (empty if this process answered it), or the error
    /// message.
    std::string text;
    TransactionState state = TransactionState::None;
    /// End of the upstream's log; 0.0 if the reply carries no position.
    Model::LogPosition position;
};

enum class CommandKind : std::uint8_t {
    /// A caller's statement, passed on with its id.
    Statement,
    Begin,
    BeginReadOnly,
    Rollback,
    /// Removes the values and prepared statements of the connection.
    Reset,
    Set,
    Prepare,
    /// Requests role, term and positions.
    Status,
    /// Demotes a primary whose term is lower than `term` to replica; answered like `Status`.
    StepDown,
    /// Makes a replica that knows only terms lower than `term` receive nothing until it is resumed or an
    /// upstream is promoted; answered like `Status`.
    Pause,
    /// Ends a pause; answered like `Status`.
    Resume,
};

/// One message to an upstream.
struct Command {
    CommandKind kind = CommandKind::Statement;
    Statement statement;
    /// The upstream refuses a read or a read-only transaction if its log lacks this position.
    std::optional<Model::LogPosition> after;
    std::uint64_t term = 0;
};

}
