#pragma once

#include "core/model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Scheduling {

/// Never reused within a pool, so that a late event of a closed connection is not attributed to another one.
using ConnectionId = std::uint64_t;
using TransactionId = std::uint64_t;

struct PoolSettings {
    /// Maximum number of connections, including those being opened.
    int maxConnections = 15;
    /// Execution slots: the number of statements that may run on the upstream at once.
    int slots = 2;
    /// Maximum rate at which connections are opened.
    int opensPerSecond = 10;
    /// Number of connections that may be opened at once beyond that rate.
    int openBurst = 5;
    /// After a time-out on any connection, a connection without a response for longer than this is pinged
    /// before use.
    Model::Duration pingAfterIdle = std::chrono::seconds(1);
    /// A transaction without a statement for this long is rolled back.
    Model::Duration idleTransactionTimeout = std::chrono::seconds(30);
    /// Connections above the number kept ready are closed after this time without use.
    Model::Duration idleConnectionTimeout = std::chrono::seconds(60);
};

enum class UpstreamState : std::uint8_t {
    Active,
    /// The upstream is draining or its availability zone is taken out of service. Open transactions may
    /// continue until they end, but no new work starts.
    NoNewWork,
};

/// How the use of a connection ended.
enum class Completion : std::uint8_t {
    /// The response arrived; a transaction remains open.
    Done,
    /// The transaction was committed or rolled back.
    TransactionEnded,
    /// No response arrived within the deadline. It may still arrive later, so the connection cannot be used
    /// again.
    TimedOut,
    /// The connection failed while in use or idle.
    Broken,
};

enum class PoolActionKind : std::uint8_t {
    Open,
    Ping,
    Close,
};

/// What the I/O layer has to do with a connection. It reports the result of `Open` with `opened` or
/// `openFailed`, and that of `Ping` with `pinged`. The pool has already removed a connection to close.
struct PoolAction {
    PoolActionKind kind;
    ConnectionId connection;
};

/// A transaction that was idle for too long.
struct ExpiredTransaction {
    TransactionId transaction;
    /// To be closed; the database then rolls the transaction back.
    ConnectionId connection;
};

/// Decides which connections of one upstream to open, ping, use and close, and counts the execution slots in
/// use.
///
/// Owns the state of each connection, not the connection itself. Not thread-safe: the caller holds a
/// mutex.
class ConnectionPool {
public:
    explicit ConnectionPool(const PoolSettings& settings);

    /// Changes the settings. `plan` closes connections above a lowered limit once they are idle.
    void setSettings(const PoolSettings& settings, Model::Time now);
    void setState(UpstreamState state);
    UpstreamState state() const { return m_state; }

    /// Whether `acquire` would return a connection.
    bool canAcquire(Model::Time now) const;
    /// Whether `begin` would return a connection.
    bool canBegin(Model::Time now) const;
    /// Whether `resume` would return a connection.
    bool canResume(TransactionId transaction) const;

    /// Takes an execution slot and an idle connection for one statement. Returns `std::nullopt` if either is
    /// not available or the upstream accepts no new work.
    std::optional<ConnectionId> acquire(Model::Time now);
    /// As `acquire`, and binds the connection to `transaction` until it ends. Also returns `std::nullopt` if
    /// `transaction` is already open, or if only one connection per execution slot is left that is not
    /// bound to a transaction. At least one transaction is allowed.
    std::optional<ConnectionId> begin(TransactionId transaction, Model::Time now);
    /// Takes an execution slot for a statement on the connection bound to `transaction`. Returns
    /// `std::nullopt` if the transaction is unknown or already runs a statement, or if no slot is free.
    std::optional<ConnectionId> resume(TransactionId transaction, Model::Time now);
    bool knowsTransaction(TransactionId transaction) const { return m_transactions.contains(transaction); }

    /// Ends the use of a connection. Returns false if the connection has to be closed. This includes a
    /// connection that the pool has removed already; its response then has to be discarded.
    [[nodiscard]] bool finish(ConnectionId connection, Completion completion, Model::Time now);

    /// Returns the connections to open, ping or close. `waiting` is the number of items that wait for this
    /// upstream.
    std::vector<PoolAction> plan(std::size_t waiting, Model::Time now);
    /// Records that the connection was opened. Returns false if it has to be closed because the pool has
    /// removed it or the upstream accepts no new work.
    [[nodiscard]] bool opened(ConnectionId connection, Model::Time now);
    /// Removes a connection that could not be opened.
    void openFailed(ConnectionId connection);
    enum class PingResult : std::uint8_t { Answered, Failed };
    /// Records the result of a ping. Returns false if the connection has to be closed.
    [[nodiscard]] bool pinged(ConnectionId connection, PingResult result, Model::Time now);

    /// Removes the transactions that have been idle for `idleTransactionTimeout`, together with their
    /// connections, and returns them.
    std::vector<ExpiredTransaction> expireTransactions(Model::Time now);
    /// The open transactions. They are rolled back when their key is withdrawn or the owner changes.
    std::vector<TransactionId> transactions() const;

    int connectionCount() const { return static_cast<int>(m_connections.size()); }
    /// Execution slots in use.
    int running() const { return m_running; }
    int slots() const { return m_settings.slots; }

private:
    enum class State : std::uint8_t {
        Opening,
        Idle,
        Pinging,
        Running,
        IdleInTransaction,
    };
    struct Connection {
        State state = State::Opening;
        std::optional<TransactionId> transaction;
        /// When the upstream last responded on this connection.
        Model::Time lastResponseAt;
        Model::Time lastUsed;
    };
    using Connections = std::map<ConnectionId, Connection>;

    bool mayStart() const;
    bool isSuspect(const Connection& connection, Model::Time now) const;
    Connections::const_iterator findUsable(Model::Time now) const;
    int count(State state) const;
    int wantedConnections() const;
    int maxTransactions() const;
    void run(Connection& connection, Model::Time now);
    void removeConnection(Connections::iterator connection);
    void planCloses(Model::Time now, std::vector<PoolAction>& actions);
    void planPings(Model::Time now, std::vector<PoolAction>& actions);
    void planOpens(std::size_t waiting, Model::Time now, std::vector<PoolAction>& actions);
    void refillOpens(Model::Time now);

    PoolSettings m_settings;
    UpstreamState m_state = UpstreamState::Active;
    Connections m_connections;
    std::unordered_map<TransactionId, ConnectionId> m_transactions;
    ConnectionId m_lastId = 0;
    int m_running = 0;
    /// When a statement last timed out or a ping last failed.
    std::optional<Model::Time> m_lastTimeout;
    /// Token bucket for opening connections, as a duration: it fills in real time up to the burst, and each
    /// new connection costs one second divided by `opensPerSecond`.
    Model::Duration m_openCredit {};
    std::optional<Model::Time> m_lastRefill;
};

}
