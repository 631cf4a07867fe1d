#pragma once

#include "core/directory/configuration.h"
#include "core/model/logposition.h"
#include "core/proxy/connection.h"
#include "core/proxy/statement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Proxy {

/// Identifies a connection between two hosts on which statements are forwarded. A number is not reused for a
/// later connection; 0 means none.
using ForwardLinkId = std::uint64_t;

/// A statement that the pool host of a service executes for a session of another host, with all that it
/// depends on: a pool host keeps nothing of the session between two operations.
struct ForwardedStatement {
    /// The session at the host that sends the statement.
    SessionId session = 0;
    /// Distinguishes the statements of a session; the reply repeats it.
    std::uint64_t sequence = 0;
    Statement statement;
    /// What the statement's prepared name stands for, if it is an `Execute`.
    std::optional<PreparedShape> shape;
    std::map<std::string, std::string> values;
    /// The route in force when the operation began. `statementTimeout` is the rest of the time limit.
    Directory::Route route;
    std::string customer;
    TransactionState state = TransactionState::None;
    bool isReadOnlyTransaction = false;
    /// An earlier statement of the transaction was sent on the same link.
    bool isContinued = false;
    Model::LogPosition lastCommit;
    bool isTraced = false;
};

}
