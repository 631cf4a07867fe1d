#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Proxy {

/// How a statement or the opening of a session ended.
enum class ResultCode : std::uint8_t {
    Complete,
    NoDatabase,
    InvalidKey,
    /// Not run: overloaded, beyond the customer's rate, or no upstream can take it now.
    Busy,
    /// Nothing of the transaction is kept.
    Aborted,
    /// Not run: the upstream's log lacks the required position.
    Lagging,
    /// Not run: the upstream does not lead.
    ReadOnly,
    /// Not run: another upstream answers at this address.
    WrongInstance,
    /// Not run: the upstream accepts no more connections.
    ConnectionLimit,
    /// It may have run.
    InDoubt,
    /// It ran into its time limit at the upstream.
    TimedOut,
    /// It ran and failed.
    Failed,
    /// Not run: no such prepared statement.
    UnknownStatement,
    /// Not run: it cannot be understood in this state.
    Malformed,
};

struct ResultInfo {
    ResultCode code;
    /// Used in logs and metrics.
    std::string_view name;
    /// Whether an upstream that answers with it has not run the statement.
    bool isNotRun;
};

/// All codes in the order of the enumeration.
std::span<const ResultInfo> resultTable();
const ResultInfo& resultInfo(ResultCode code);

}
