#pragma once

#include "core/model/time.h"
#include "core/proxy/command.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Proxy {

enum class ConnectionState : std::uint8_t {
    Opening,
    Idle,
    /// Runs a statement or a transaction of a session, or is between two statements of a transaction.
    InUse,
    /// Used by no session, but the upstream has not yet answered all messages.
    AwaitingReplies,
};

/// A message whose reply is outstanding.
struct PendingReply {
    CommandKind kind = CommandKind::Statement;
    Model::Time sentAt;
    /// Called with the reply to a message of the proxy itself, or with `nullopt` if the connection is lost
    /// before the reply arrives. Empty for messages of sessions.
    std::function<void(const std::optional<Reply>&)> answered;
    /// Customer whose usage includes the statement; empty for none.
    std::string chargedCustomer = {};
};

/// Identifies a prepared statement by its kind and shape (the argument of `Prepare`), independently of the
/// names that sessions and connections give it.
struct PreparedShape {
    PreparedKind kind = PreparedKind::Read;
    std::string shape;

    auto operator<=>(const PreparedShape&) const = default; // NOLINT(modernize-use-nullptr)
};

/// What a session expects on its connection: session values by name, and prepared statements by the name that
/// the caller gave them.
struct SessionContext {
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
    /// Memory that both occupy.
    std::size_t bytes = 0;
};

/// One connection to an upstream, opened for one customer and used by one session at a time.
struct Connection {
    ConnectionId id = 0;
    std::string upstream;
    std::string service;
    std::string customer;
    ConnectionState state = ConnectionState::Opening;
    Model::Time changedAt;
    /// Values set on the connection.
    std::map<std::string, std::string> values;
    /// Prepared statements on the connection, with the names that the proxy gave them.
    std::map<PreparedShape, std::string> prepared;
    /// Memory that both occupy.
    std::size_t contextBytes = 0;
    /// Outstanding replies, in the order of the messages.
    std::deque<PendingReply> pending;
    /// The session that uses the connection, or 0.
    SessionId session = 0;
    bool isInTransaction = false;
    /// Since when the connection occupies an execution slot of the upstream, if statements are scheduled.
    std::optional<Model::Time> slotHeldSince;
    /// The session relies on the upstream being the primary, and not only on a position of its log.
    bool reliesOnPrimary = false;
    /// A message of the proxy itself that is sent once the connection is open.
    std::optional<Command> first;
    std::function<void(const std::optional<Reply>&)> firstAnswered;
};

/// Keeps the value or prepared statement of a `Set` or `Prepare`. Returns false, and changes nothing, if the
/// session would then occupy more than `maxBytes` with these.
bool keepInContext(SessionContext& context, const Statement& statement, std::size_t maxBytes);
/// Forgets a prepared statement.
void closePrepared(SessionContext& context, const std::string& name);

/// Returns the commands that give the connection the session values of `context` and, unless `shape` is null,
/// a prepared statement of that shape. Updates the record in `connection` as if they had succeeded; if one of
/// them fails, the connection has to be closed.
std::vector<Command> commandsToMatch(
    Connection& connection, const SessionContext& context, const PreparedShape* shape);

}
