#pragma once

#include "core/directory/configuration.h"
#include "core/model/logposition.h"
#include "core/proxy/connection.h"
#include "core/proxy/hoptrace.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Proxy {

/// Which upstreams may run a request.
enum class Target : std::uint8_t {
    /// Only the one that leads.
    Primary,
    /// Each one whose log is fresh enough.
    Fresh,
    /// Only the one that runs the session's transaction.
    Transaction,
};

enum class RequestPhase : std::uint8_t {
    /// No connection yet.
    Waiting,
    /// The connection is being prepared; the statement itself was not sent.
    Preparing,
    /// The statement was sent.
    Running,
};

/// The statement that a session waits for.
struct Request {
    Statement statement;
    Target target = Target::Primary;
    RequestPhase phase = RequestPhase::Waiting;
    bool isWrite = false;
    Model::Time arrivedAt;
    /// When the statement's time limit at the route ends.
    Model::Time deadline;
    /// When the statement was sent to an upstream.
    Model::Time sentAt;
    /// A busy upstream is asked again then.
    std::optional<Model::Time> retryAt;
    /// The connection that is being opened for it; 0 for none.
    ConnectionId opening = 0;
    /// The upstream that it went to last; empty before the first try.
    std::string upstream;
    int attempts = 0;
    /// Upstreams that could not run it.
    std::vector<std::string> excluded;
    /// How its last attempt ended.
    ResultCode lastCode = ResultCode::Busy;
    /// Its hops, if it is traced.
    std::optional<HopTrace> trace;
};

/// One caller's connection.
struct Session {
    SessionId id = 0;
    std::string database;
    std::string key;
    SessionContext context;
    TransactionState state = TransactionState::None;
    /// The route as it was when the operation began; transactions keep it to their end.
    std::shared_ptr<const Directory::Configuration> configuration;
    const Directory::Route* route = nullptr;
    /// Empty for callers of open routes without a valid key.
    std::string customer;
    bool isReadOnlyTransaction = false;
    bool hasWritten = false;
    /// The connection of the open transaction, or of the running statement; 0 for none.
    ConnectionId connection = 0;
    /// The transaction was rolled back here; the caller learns it with its next statement.
    bool isAborted = false;
    std::optional<Request> request;
    /// Statements that arrived before the answer to the one before them.
    std::deque<Statement> pipelined;
    Model::LogPosition lastCommit;
    Model::Time lastActivity;
};

/// Whether the statement runs at an upstream; all others are answered here.
bool needsUpstream(StatementKind kind);
/// Whether the statement writes; `prepared` is the shape that an `Execute` names.
bool isWrite(const Statement& statement, const PreparedShape* prepared);

}
