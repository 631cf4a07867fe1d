#pragma once

#include "daemon/grouprunner.h"

#include <condition_variable>
#include <cstdint>
#include <optional>
#include <string>

namespace Daemon {

enum class StatementKind : std::uint8_t {
    Write,
    Read,
    Begin,
    InTransaction,
};

/// A request that waits for a connection. Lives on the stack of the thread that runs it.
struct GroupRunner::Waiter {
    const GroupRequest* request = nullptr;
    StatementKind kind = StatementKind::Read;
    Scheduling::TransactionId transaction = 0;
    /// Upstream of the transaction; empty for other statements.
    std::string member;
    Model::Time arrivedAt;
    std::optional<Assignment>* assignment = nullptr;
    std::optional<Model::ErrorCode> refusalCode;
    std::condition_variable wake;
};

/// A connection that one statement may use.
struct GroupRunner::Assignment {
    std::string upstream;
    Scheduling::ConnectionId connection = 0;
    UpstreamLink::ClientPointer client;
    std::uint64_t term = 0;
    /// The response cannot be used once the term is superseded. False for reads, which carry the term of a
    /// replica's last report.
    bool isTermBound = true;
};

}
