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

/// The whole answer to a statement, from an upstream or to a caller.
struct Reply {
    std::vector<std::string> rows;
    ResultCode code = ResultCode::Complete;
    /// The receipt of a complete statement (empty if this process answered it), or the text of an error.
    std::string text;
    TransactionState state = TransactionState::None;
    /// End of the upstream's log; a position of 0.0 stands for none.
    Model::LogPosition position;
};

enum class CommandKind : std::uint8_t {
    /// A caller's statement, passed on with its id.
    Statement,
    Begin,
    BeginReadOnly,
    Rollback,
    /// Drops the values and prepared statements of the connection.
    Reset,
    Set,
    Prepare,
    /// Asks for role, term and positions.
    Status,
    /// Makes a primary of a term lower than `term` a replica; answered like `Status`.
    StepDown,
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
