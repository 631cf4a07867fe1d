#pragma once

#include "core/directory/view.h"
#include "core/failover/reachability.h"
#include "core/proxy/connectionledger.h"
#include "core/proxy/decision.h"
#include "core/proxy/pool.h"
#include "core/proxy/router.h"
#include "core/proxy/session.h"

#include <functional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace Proxy {

/// What the engine asks of its surroundings.
struct EngineHooks {
    std::function<void(SessionId, const Reply&)> reply;
    std::function<void(SessionId, ResultCode, std::string_view text)> rejectSession;
    std::function<void(SessionId)> closeSession;
    std::function<void(ConnectionId, const Directory::Upstream&, const std::string& customer)> connect;
    std::function<void(ConnectionId, std::span<const Command>)> send;
    std::function<void(ConnectionId)> disconnect;
    /// Whether the customer may start another operation now.
    std::function<bool(const Directory::Customer&, Model::Time)> admit;
    /// What `admit` saw of the customer's limit, for the log of a refusal.
    std::function<std::string(const Directory::Customer&)> explainLimit;
    std::function<void(const Decision&)> decided;
    /// Whether the hops of the next statement for an upstream are recorded.
    std::function<bool()> isNextTraced;
    /// A statement that an upstream had to run was answered after `elapsed`.
    std::function<void(const Session&, ResultCode, Model::Duration elapsed)> answered;
};

/// Runs the statements of sessions on the connections of upstreams. Performs no input or output: events
/// come in as calls, with the present time, and orders go out through the hooks. Used on one thread.
class Engine {
public:
    Engine(const Directory::View& view, std::string zone, EngineHooks hooks);

    /// A caller asked for a session. It is either accepted or rejected through the hooks.
    void openSession(SessionId id, std::string database, std::string key, Model::Time now);
    void handle(SessionId id, Statement statement, Model::Time now);
    /// The caller closed its connection.
    void sessionClosed(SessionId id, Model::Time now);

    void connectionOpened(ConnectionId id, Model::LogPosition position, Model::Time now);
    void connectionRefused(ConnectionId id, ResultCode code, Model::Time now);
    void connectionReply(ConnectionId id, const Reply& reply, Model::Time now);
    void connectionLost(ConnectionId id, Model::Time now);

    /// Configuration, upstreams or zones changed.
    void directoryChanged(Model::Time now);
    /// Sends a message of the proxy itself to an upstream; `answered` gets nothing if no answer comes.
    using AnswerHook = std::function<void(const std::optional<Reply>&)>;
    void command(const std::string& upstream, const Command& command, AnswerHook answered, Model::Time now);
    /// When a new primary of the service is expected, or nothing. Requests that can wait so long are held.
    void setPrimaryExpected(const std::string& service, std::optional<Model::Time> at);
    /// The process stood still; answers may wait unread.
    void processPaused(Model::Time now) { m_reachability.processPaused(now); }
    void forgetReachability(const std::string& upstream) { m_reachability.reset(upstream); }
    const Failover::Reachability& reachability() const { return m_reachability; }

    /// What the other hosts hold of the upstreams' connections.
    ConnectionLedger& ledger() { return m_ledger; }
    /// Handles time limits.
    void tick(Model::Time now);
    /// When `tick` has to be called at the latest.
    Model::Time nextTick(Model::Time now) const;

    /// Closes the sessions that are in no transaction and wait for nothing.
    void closeIdleSessions();
    /// Rolls the transactions back that wait for their caller, and closes their sessions.
    void endIdleTransactions(Model::Time now);
    std::size_t sessionCount() const { return m_sessions.size(); }
    const Pool& pool() const { return m_pool; }
    const Router& router() const { return m_router; }

private:
    /// A caller that sends this many statements ahead of their answers is not following the protocol.
    static constexpr std::size_t maxEarlyStatements = 64;
    /// Between two tries of a statement that a busy upstream did not run.
    static constexpr Model::Duration busyPause = std::chrono::milliseconds(15);
    /// A single statement is tried at no more upstreams than a service usually has.
    static constexpr int maxAttempts = 4;

    /// A caller that asked for a session before the first configuration was known.
    struct PendingOpen {
        std::string database;
        std::string key;
        Model::Time since;
        std::vector<Statement> early;
    };

    Session* findSession(SessionId id);
    void acceptSession(SessionId id, std::string database, std::string key, Model::Time now);
    void handleBeforeOpen(SessionId id, Statement statement, Model::Time now);
    void checkPendingOpens(Model::Time now);
    bool beginOperation(Session& session, const Statement& statement, Model::Time now);
    void answer(Session& session, const Statement& statement, Model::Time now);
    void startRequest(Session& session, Statement statement, Model::Time now);
    void handleInFailedTransaction(Session& session, const Statement& statement, Model::Time now);

    void dispatch(Model::Time now);
    bool tryAssign(Session& session, Model::Time now);
    ConnectionId openFor(const Session& session, const Directory::Upstream& upstream, Model::Time now);
    void assign(Session& session, Connection& connection, Model::Time now);
    void sendStatement(
        Session& session, Connection& connection, std::vector<Command> commands, Model::Time now);
    void send(Connection& connection, const std::vector<Command>& commands, Model::Time now);
    Command statementCommand(const Session& session, const Connection& connection) const;

    void beginAnswered(
        Connection& connection, CommandKind kind, const Reply& reply, Model::Time sentAt, Model::Time now);
    void statementAnswered(Connection& connection, const Reply& reply, Model::Time sentAt, Model::Time now);
    void completed(
        Session& session, Connection& connection, Reply reply, Model::Time sentAt, Model::Time now);
    void failedAlone(Session& session, Connection& connection, const Reply& reply, Model::Time now);
    void failedInTransaction(Session& session, Connection& connection, const Reply& reply, Model::Time now);

    void retry(Session& session, std::string_view reason, Model::Time now);
    static void enterHop(Request& request, HopKind kind, Model::Time now);
    void finish(Session& session, const Reply& reply, Model::Time now);
    void refuse(Session& session, ResultCode code, std::string_view reason, Model::Time now);
    void lostInUse(Session& session, const std::string& upstream, Model::Time now);
    void release(Connection& connection, Model::Time now);
    void detach(Session& session, Model::Time now);
    void closeConnection(ConnectionId id);
    void failCommands(Connection& connection);
    void checkRequest(Session& session, Model::Time now);
    static bool mayAbandon(const Session& session);
    bool isAnswerOverdue(const Session& session, Model::Time now) const;
    void checkTransaction(Session& session, Model::Time now);
    void closeSurplus(Model::Time now);
    void rejectOpen(SessionId id, const std::string& database, ResultCode code, std::string_view reason);
    void decided(DecisionKind kind, const Session& session, ResultCode code, std::string_view reason,
        Model::Time now) const;

    ConnectionShare share(const std::string& service, const std::string& upstream) const;
    Model::Duration holdLimit(const Session& session) const;

    const Directory::View& m_view;
    EngineHooks m_hooks;
    Pool m_pool;
    Failover::Reachability m_reachability;
    Router m_router;
    std::map<std::string, Model::Time> m_primaryExpected;
    std::unordered_map<SessionId, Session> m_sessions;
    std::map<SessionId, PendingOpen> m_pendingOpens;
    /// Sessions that wait for a statement or are in a transaction.
    std::set<SessionId> m_active;
    /// Sessions whose request has no connection yet, most urgent and oldest first.
    std::vector<SessionId> m_waiting;
    ConnectionLedger m_ledger;
    Model::Time m_nextSurplusCheck;
};

}
