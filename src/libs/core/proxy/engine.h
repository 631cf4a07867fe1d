#pragma once

#include "core/directory/view.h"
#include "core/failover/reachability.h"
#include "core/proxy/connectionledger.h"
#include "core/proxy/decision.h"
#include "core/proxy/enginesettings.h"
#include "core/proxy/pool.h"
#include "core/proxy/router.h"
#include "core/proxy/session.h"

#include <functional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace Proxy {

/// Callbacks that the owner of the engine supplies.
struct EngineHooks {
    std::function<void(SessionId, const Reply&)> reply;
    std::function<void(SessionId, ResultCode, std::string_view text)> rejectSession;
    std::function<void(SessionId)> closeSession;
    std::function<void(ConnectionId, const Directory::Upstream&, const std::string& customer)> connect;
    std::function<void(ConnectionId, std::span<const Command>)> send;
    std::function<void(ConnectionId)> disconnect;
    /// Whether the customer may start another operation now; if so, charges it.
    std::function<bool(const Directory::Customer&, Model::Time)> admit;
    /// Describes the state of the customer's limit that `admit` checked, for the log entry of a refusal.
    std::function<std::string(const Directory::Customer&)> explainLimit;
    /// Whether this host may use primaries now; empty if it always may.
    std::function<bool(Model::Time)> mayUsePrimaries;
    std::function<void(const Decision&)> decided;
    /// Called when a session reached the limit of its values and prepared statements; may be empty.
    std::function<void(SessionId, std::size_t bytes)> valuesRefused;
    /// Whether the hops of the next statement for an upstream are recorded.
    std::function<bool()> isNextTraced;
    /// Called when a statement that needs an upstream has been answered, `elapsed` after its arrival.
    std::function<void(const Session&, ResultCode, Model::Duration elapsed)> answered;
};

/// Runs the statements of sessions on connections to upstreams. Performs no input or output: the owner
/// reports events by calls, with the current time, and the engine acts through the hooks. Used on one thread.
class Engine {
public:
    Engine(const Directory::View& view, std::string zone, EngineHooks hooks, EngineSettings settings = {});

    /// Opens a session that a caller requested. It is accepted or rejected through the hooks; before the
    /// first configuration it is queued for a limited time.
    void openSession(SessionId id, std::string database, std::string key, Model::Time now);
    void handle(SessionId id, Statement statement, Model::Time now);
    /// The caller closed its connection.
    void sessionClosed(SessionId id, Model::Time now);

    void connectionOpened(ConnectionId id, Model::LogPosition position, Model::Time now);
    void connectionRefused(ConnectionId id, ResultCode code, Model::Time now);
    void connectionReply(ConnectionId id, const Reply& reply, Model::Time now);
    void connectionLost(ConnectionId id, Model::Time now);

    /// Has to be called after a change of configuration, upstreams or zones.
    void directoryChanged(Model::Time now);
    /// Ends the use of upstreams that this host may no longer use as primaries. Writes and commits that were
    /// sent to them are in doubt, open transactions are rolled back, and reads are tried elsewhere. Should be
    /// called as soon as a fence is set or the permission to use primaries has ended; results that arrive
    /// after that are discarded in any case.
    void endDisallowedUses(Model::Time now);
    using AnswerHook = std::function<void(const std::optional<Reply>&)>;
    /// Sends a message of the proxy itself to an upstream. `answered` is called with the reply, or with
    /// `nullopt` if the upstream is unknown or the connection fails before a reply arrives.
    void command(const std::string& upstream, const Command& command, AnswerHook answered, Model::Time now);
    /// Requests the status of the upstream if it has left requests unanswered for a while. Has to be called
    /// every 100 ms for upstreams whose reachability decides on their replacement.
    void probeIfUnresponsive(const std::string& upstream, Model::Time now);
    /// Sets when a new primary of the service is expected; `nullopt` if none is. Requests whose deadline is
    /// later stay queued until their time limit instead of being refused early.
    void setPrimaryExpected(const std::string& service, std::optional<Model::Time> at);
    /// Reports that the process was paused; replies may have arrived that are not read yet.
    void processPaused(Model::Time now) { m_reachability.processPaused(now); }
    void resetReachability(const std::string& upstream) { m_reachability.reset(upstream); }
    const Failover::Reachability& reachability() const { return m_reachability; }

    /// The shares of the upstreams' connections, and the other hosts' reports on which they are based.
    ConnectionLedger& ledger() { return m_ledger; }
    /// Enforces time limits, retries requests and closes surplus connections.
    void tick(Model::Time now);
    /// Returns the latest time at which `tick` has to be called next.
    Model::Time nextTick(Model::Time now) const;

    /// Closes the sessions that have neither a transaction nor an unanswered statement, and from now on each
    /// other one as soon as that is true of it.
    void closeIdleSessions();
    /// Rolls back the transactions that wait for their caller's next statement, and closes their sessions.
    void endIdleTransactions(Model::Time now);
    /// Closes a connection that no session uses, which says nothing about the upstream's reachability.
    void closeUnused(ConnectionId id, Model::Time now) { endUse(id, now); }
    /// Memory that the session occupies; 0 if it does not exist.
    SessionBytes sessionBytes(SessionId id) const;
    std::size_t sessionCount() const { return m_sessions.size(); }
    const Pool& pool() const { return m_pool; }
    const Router& router() const { return m_router; }

private:
    /// A session with more pipelined statements than this is closed: its caller violates the protocol.
    static constexpr std::size_t maxPipelinedStatements = 64;
    /// Between two attempts of a statement that a busy upstream did not run.
    static constexpr Model::Duration busyPause = std::chrono::milliseconds(15);
    /// A statement is tried on no more upstreams than a service usually has.
    static constexpr int maxAttempts = 4;

    /// A session that was requested before the first configuration was known.
    struct PendingOpen {
        std::string database;
        std::string key;
        Model::Time since;
        std::vector<Statement> pipelined;
    };

    Session* findSession(SessionId id);
    void acceptSession(SessionId id, std::string database, std::string key, Model::Time now);
    void handleBeforeOpen(SessionId id, Statement statement, Model::Time now);
    void checkPendingOpens(Model::Time now);
    bool beginOperation(Session& session, const Statement& statement, Model::Time now);
    bool keepValue(Session& session, const Statement& statement);
    void answer(Session& session, const Statement& statement, Model::Time now);
    void startRequest(Session& session, Statement statement, Model::Time now);
    void handleInFailedTransaction(Session& session, const Statement& statement, Model::Time now);

    void dispatch(Model::Time now);
    bool tryAssign(Session& session, Model::Time now);
    ConnectionId openFor(const Session& session, const Directory::Upstream& upstream, Model::Time now);
    void assign(Session& session, Connection& connection, Model::Time now);
    void startStatement(
        Session& session, Connection& connection, std::vector<Command> preparation, Model::Time now);
    void sendStatement(Session& session, Connection& connection, Model::Time now);
    void send(Connection& connection, const std::vector<Command>& commands, Model::Time now);
    Command statementCommand(const Session& session, const Connection& connection) const;

    void preparationAnswered(Connection& connection, const Reply& reply, Model::Time now);
    void beginAnswered(
        Connection& connection, CommandKind kind, const Reply& reply, Model::Time sentAt, Model::Time now);
    void statementAnswered(Connection& connection, const Reply& reply, Model::Time sentAt, Model::Time now);
    void completed(
        Session& session, Connection& connection, Reply reply, Model::Time sentAt, Model::Time now);
    void failedOutsideTransaction(
        Session& session, Connection& connection, const Reply& reply, Model::Time now);
    void failedInTransaction(Session& session, Connection& connection, const Reply& reply, Model::Time now);

    void retry(Session& session, std::string_view reason, Model::Time now);
    static void enterHop(Request& request, HopKind kind, Model::Time now);
    void finish(Session& session, const Reply& reply, Model::Time now);
    bool isIdle(SessionId id) const { return !m_active.contains(id); }
    void refuse(Session& session, ResultCode code, std::string_view reason, Model::Time now);
    void sessionConnectionLost(Session& session, const std::string& upstream, Model::Time now);
    void release(Connection& connection, Model::Time now);
    void detach(Session& session, Model::Time now);
    void closeConnection(ConnectionId id);
    void failCommands(Connection& connection);
    void abandonConnection(ConnectionId id, Model::Time now);
    void removeLost(ConnectionId id, Model::Time now);
    void decidedOnConnection(DecisionKind kind, const Connection& connection, ResultCode code,
        std::string_view reason, Model::Time now) const;
    bool isUseAllowed(const Connection& connection, Model::Time now) const;
    void endUse(ConnectionId id, Model::Time now);
    void checkRequest(Session& session, Model::Time now);
    static bool mayAbandon(const Session& session);
    bool isAnswerOverdue(const Session& session, Model::Time now) const;
    void checkTransaction(Session& session, Model::Time now);
    void closeSurplus(Model::Time now);
    void rejectOpen(SessionId id, const std::string& database, ResultCode code, std::string_view reason);
    void decided(DecisionKind kind, const Session& session, ResultCode code, std::string_view reason,
        Model::Time now) const;

    ConnectionShare share(const std::string& service, const std::string& upstream) const;
    Model::Duration maxQueueTime(const Session& session) const;

    const Directory::View& m_view;
    EngineHooks m_hooks;
    EngineSettings m_settings;
    Pool m_pool;
    Failover::Reachability m_reachability;
    Router m_router;
    std::map<std::string, Model::Time> m_primaryExpected;
    std::unordered_map<SessionId, Session> m_sessions;
    std::map<SessionId, PendingOpen> m_pendingOpens;
    /// Sessions that have an unanswered statement or are in a transaction.
    std::set<SessionId> m_active;
    /// Sessions whose request has no connection yet, most urgent and oldest first.
    std::vector<SessionId> m_waiting;
    ConnectionLedger m_ledger;
    Model::Time m_nextSurplusCheck;
    bool m_closesIdleSessions = false;
};

}
