#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Proxy {

/// Result of a statement or of opening a session.
enum class ResultCode : std::uint8_t {
    Complete,
    NoDatabase,
    InvalidKey,
    /// Not run: overloaded, beyond the customer's rate, or no upstream can take it now.
    Busy,
    /// The transaction was rolled back; none of its changes remain.
    Aborted,
    /// Not run: the upstream's log lacks the required position.
    Lagging,
    /// Not run: the upstream is not the primary.
    ReadOnly,
    /// Not run: another upstream answers at this address.
    WrongInstance,
    /// Not run: the upstream accepts no more connections.
    ConnectionLimit,
    /// Unknown outcome: it may or may not have run.
    InDoubt,
    /// It exceeded its time limit at the upstream.
    TimedOut,
    /// It ran and failed.
    Failed,
    /// Not run: no such prepared statement.
    UnknownStatement,
    /// Not run: it cannot be parsed or is not valid in this state.
    Malformed,
};

struct ResultInfo {
    ResultCode code;
    /// Used in logs and metrics.
    std::string_view name;
    /// Whether a reply with this code guarantees that the upstream has not run the statement.
    bool isNotRun;
};

/// All codes in the order of the enumeration.
std::span<const ResultInfo> resultTable();
const ResultInfo& resultInfo(ResultCode code);

}
