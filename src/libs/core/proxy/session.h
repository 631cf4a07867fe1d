#pragma once

#include "core/directory/configuration.h"
#include "core/model/logposition.h"
#include "core/proxy/connection.h"
#include "core/proxy/forwardedstatement.h"
#include "core/proxy/hoptrace.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Proxy {

/// Which upstreams may run a request.
enum class Target : std::uint8_t {
    /// Only the primary.
    Primary,
    /// Any upstream whose log has reached the required position.
    Fresh,
    /// Only the upstream that runs the session's transaction.
    Transaction,
    /// The pool host decides.
    Forwarded,
};

enum class RequestPhase : std::uint8_t {
    /// The request has no connection yet.
    Waiting,
    /// The connection is being prepared, and the statement itself has not been sent; or a busy upstream did
    /// not run it, and it will be sent again.
    Preparing,
    /// The statement has been sent.
    Running,
};

/// The statement whose reply a session is waiting for.
struct Request {
    Statement statement;
    Target target = Target::Primary;
    RequestPhase phase = RequestPhase::Waiting;
    bool isWrite = false;
    Model::Time arrivedAt;
    /// End of the route's time limit for a statement.
    Model::Time deadline;
    /// When the statement was sent to an upstream.
    Model::Time sentAt;
    /// Time of the next attempt after an upstream was busy.
    std::optional<Model::Time> retryAt;
    /// The request has a connection and waits for a slot of its upstream.
    bool awaitsSlot = false;
    /// The connection that is being opened for the request; 0 for none.
    ConnectionId opening = 0;
    /// Upstream of the last attempt; empty before the first one.
    std::string upstream;
    int attempts = 0;
    /// Upstreams that could not run the request and are excluded from further attempts.
    std::vector<std::string> excluded;
    /// Result of the last attempt.
    ResultCode lastCode = ResultCode::Busy;
    /// Sequence number under which the statement was forwarded last.
    std::uint64_t forwardSequence = 0;
    /// Earlier statements of the transaction were forwarded as well.
    bool isContinued = false;
    /// Hops of the request, if it is traced.
    std::optional<HopTrace> trace;
};

/// State of one caller's connection.
struct Session {
    SessionId id = 0;
    std::string database;
    std::string key;
    SessionContext context;
    TransactionState state = TransactionState::None;
    /// The configuration in force when the operation began, which contains `route`; a transaction keeps it to
    /// its end.
    std::shared_ptr<const Directory::Configuration> configuration;
    const Directory::Route* route = nullptr;
    /// The route of a session that another host has forwarded; null for sessions of this host's callers.
    std::shared_ptr<Directory::Route> forwardedRoute;
    /// The host that forwarded the session's statement records its hops.
    bool isTraced = false;
    /// Empty for callers of open routes without a valid key.
    std::string customer;
    bool isReadOnlyTransaction = false;
    bool hasWritten = false;
    /// The connection of the open transaction, or of the running statement; 0 for none.
    ConnectionId connection = 0;
    /// The link to the pool host that runs the open transaction or the statement; 0 for none.
    ForwardLinkId link = 0;
    /// An upstream has begun to run the operation, so that the customer's usage includes it.
    bool isUsageCounted = false;
    /// The proxy rolled the transaction back; the reply to the caller's next statement reports it.
    bool isAborted = false;
    std::optional<Request> request;
    /// Arrival time of the operation that waits for admission; its first statement is at the front of
    /// `pipelined`. Empty if none waits.
    std::optional<Model::Time> admissionAwaitedSince;
    /// Statements that were received before the previous one was answered.
    std::deque<Statement> pipelined;
    std::size_t pipelinedBytes = 0;
    Model::LogPosition lastCommit;
    Model::Time lastActivity;
};

/// Memory that a session occupies.
struct SessionBytes {
    /// The running and the pipelined statements.
    std::size_t statements = 0;
    /// Session values, prepared statements, and what the caller sent to open the session.
    std::size_t context = 0;
};

/// Memory that the statement occupies.
std::size_t statementBytes(const Statement& statement);
/// Returns whether an upstream has to run the statement; the proxy answers all others itself.
bool needsUpstream(StatementKind kind);
/// Returns whether the statement writes. `prepared` is the prepared statement that an `Execute` names, or
/// null.
bool isWrite(const Statement& statement, const PreparedShape* prepared);

}
