#pragma once

#include "core/model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Scheduling {

/// Never reused within a pool, so that a late event of a closed connection cannot reach another one.
using ConnectionId = std::uint64_t;
using TransactionId = std::uint64_t;

struct PoolSettings {
    /// Connections that this pool may hold at once, those being opened included.
    int maxConnections = 15;
    /// Statements that run on the upstream at once.
    int slots = 2;
    /// Rate and burst at which connections are opened.
    int opensPerSecond = 10;
    int openBurst = 5;
    /// After silence was seen, a connection idle for longer than this is pinged before use.
    Model::Duration pingAfterIdle = std::chrono::seconds(1);
    /// A transaction without a statement for this long is ended.
    Model::Duration idleTransactionTimeout = std::chrono::seconds(30);
    /// Connections above the number kept ready are closed after this time without use.
    Model::Duration idleConnectionTimeout = std::chrono::seconds(60);
};

enum class UpstreamState : std::uint8_t {
    Active,
    /// Leaving, or in an availability zone taken out: open transactions may end, nothing new starts.
    NoNewWork,
};

/// How the use of a connection ended.
enum class Completion : std::uint8_t {
    /// The response arrived; a transaction remains open.
    Done,
    /// The transaction was committed or rolled back.
    TransactionEnded,
    /// No response within the deadline. The response may still arrive, so the connection is lost.
    TimedOut,
    /// The connection was lost, in use or idle.
    Broken,
};

enum class PoolActionKind : std::uint8_t {
    Open,
    Ping,
    Close,
};

/// What the I/O layer has to do with a connection. It answers `Open` with `opened` or `openFailed`, and
/// `Ping` with `pinged`; the pool has already forgotten a connection to close.
struct PoolAction {
    PoolActionKind kind;
    ConnectionId connection;
};

struct ExpiredTransaction {
    TransactionId transaction;
    /// To be closed; the database then rolls the transaction back.
    ConnectionId connection;
};

/// Decides on the connections of one upstream: which to open, check, use and close.
///
/// Owns the state of each connection, not the connection itself. Not thread-safe: the caller holds a
/// mutex.
class ConnectionPool {
public:
    explicit ConnectionPool(const PoolSettings& settings);

    /// Settings in force from now on. Surplus connections are closed by `plan` once they are idle.
    void setSettings(const PoolSettings& settings, Model::Time now);
    void setState(UpstreamState state);
    UpstreamState state() const { return m_state; }

    /// Whether `acquire` would return a connection.
    bool canAcquire(Model::Time now) const;
    /// Whether `begin` would return a connection.
    bool canBegin(Model::Time now) const;
    /// Whether `resume` would return a connection.
    bool canResume(TransactionId transaction) const;

    /// Takes an execution slot and an idle connection for one statement.
    std::optional<ConnectionId> acquire(Model::Time now);
    /// As `acquire`, and binds the connection to `transaction` until it ends. Refused if `transaction` is
    /// known, or if all connections but one for each slot are bound to transactions.
    std::optional<ConnectionId> begin(TransactionId transaction, Model::Time now);
    /// Takes an execution slot for a statement on the connection bound to `transaction`. Refused if the
    /// transaction is unknown or already runs a statement.
    std::optional<ConnectionId> resume(TransactionId transaction, Model::Time now);
    bool knowsTransaction(TransactionId transaction) const { return m_transactions.contains(transaction); }

    /// Ends the use of a connection. Returns false if the connection has to be closed, which includes one
    /// that the pool no longer knows; its response then has to be dropped.
    [[nodiscard]] bool finish(ConnectionId connection, Completion completion, Model::Time now);

    /// Connections to open, ping or close, given the number of items that wait for this upstream.
    std::vector<PoolAction> plan(std::size_t waiting, Model::Time now);
    /// Returns false if the connection is not wanted and has to be closed.
    [[nodiscard]] bool opened(ConnectionId connection, Model::Time now);
    void openFailed(ConnectionId connection);
    enum class PingResult : std::uint8_t { Answered, Failed };
    /// Returns false if the connection has to be closed.
    [[nodiscard]] bool pinged(ConnectionId connection, PingResult result, Model::Time now);

    /// Forgets the transactions that have been idle for too long, and their connections.
    std::vector<ExpiredTransaction> expireTransactions(Model::Time now);
    /// The open transactions, for the roll-back when their key is withdrawn or the owner changes.
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
        /// When the upstream last answered on this connection.
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
    std::optional<Model::Time> m_lastTimeout;
    /// Microseconds of refill that are left; one connection costs a second divided by the rate.
    Model::Duration m_openCredit {};
    std::optional<Model::Time> m_lastRefill;
};

}
