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
    /// Waits for answers to messages of its own only.
    AwaitingReplies,
};

/// A message whose reply is outstanding.
struct PendingReply {
    CommandKind kind = CommandKind::Statement;
    Model::Time sentAt;
    /// For messages of the proxy itself whose answer somebody waits for; gets nothing if none comes.
    std::function<void(const std::optional<Reply>&)> answered;
};

/// A prepared statement's kind and shape, apart from the names that sessions and connections give it.
struct PreparedShape {
    PreparedKind kind = PreparedKind::Read;
    std::string shape;

    auto operator<=>(const PreparedShape&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Values and prepared statements as a session expects them. Prepared statements are keyed by their name.
struct SessionContext {
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
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
    /// Prepared statements on the connection with the names chosen here.
    std::map<PreparedShape, std::string> prepared;
    /// Replies that the upstream still owes, in the order of the messages.
    std::deque<PendingReply> pending;
    /// The session that uses the connection, or 0.
    SessionId session = 0;
    bool isInTransaction = false;
    /// Sent once the connection is open.
    std::optional<Command> first;
    std::function<void(const std::optional<Reply>&)> firstAnswered;
};

/// The commands that bring a connection to the values of `context`, and to a prepared statement of `shape`
/// if one is given. The connection's record is changed as if they had succeeded.
std::vector<Command> commandsToMatch(
    Connection& connection, const SessionContext& context, const PreparedShape* shape);

}
