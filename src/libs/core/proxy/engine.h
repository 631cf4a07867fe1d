#pragma once

#include "core/directory/view.h"
#include "core/failover/reachability.h"
#include "core/proxy/connectionledger.h"
#include "core/proxy/decision.h"
#include "core/proxy/enginesettings.h"
#include "core/proxy/forwardedstatement.h"
#include "core/proxy/pool.h"
#include "core/proxy/router.h"
#include "core/proxy/session.h"
#include "core/proxy/slotwindow.h"
#include "core/proxy/waitestimate.h"
#include "core/proxy/waitqueue.h"

#include <deque>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <tuple>
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
    /// As `admit`, for an operation that was not admitted before and waited.
    std::function<bool(const Directory::Customer&, Model::Time)> admitAgain;
    /// Counts an operation that waits behind others of the customer as demand, without admitting it.
    std::function<void(const Directory::Customer&, Model::Time)> demanded;
    /// Returns when an operation that waits behind `ahead` others of the customer may be admitted, from now
    /// on; `nullopt` if that cannot be expected. Empty if no operation waits for its admission.
    std::function<std::optional<Model::Duration>(const Directory::Customer&, std::size_t ahead, Model::Time)>
        admissionWait;
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
    /// Returns the link to the pool host of the service; 0 if this host is to execute its statements. Empty
    /// if statements are not forwarded.
    std::function<ForwardLinkId(const std::string& service, Model::Time)> chooseLink;
    /// Sends a statement to a pool host. Returns false if it was certainly not sent.
    std::function<bool(ForwardLinkId, const ForwardedStatement&)> forward;
    /// The pool host has to roll back the session's transaction, if one is open there.
    std::function<void(ForwardLinkId, SessionId)> endForwarded;
    /// Whether the pool host has not responded for so long that reads should be tried elsewhere.
    std::function<bool(ForwardLinkId, Model::Time)> isLinkSuspect;
    /// Tells the host of a forwarded session that this one cannot execute its statement.
    std::function<void(SessionId)> declineForwarded;
    /// The number of hosts that share the connections of the service's upstreams; 0 if this host is none of
    /// them. Empty if all hosts do.
    std::function<int(const std::string& service)> poolHostCount;
    /// Called when it is known, or has to be assumed, that an upstream began to run a customer's operation: a
    /// single statement, or the first one of a transaction. Empty if usage is not counted.
    std::function<void(const std::string& customer, Model::Time sentAt)> operationRan;
};

/// What the scheduling of statements has decided since the start, and the requests that wait now.
struct SchedulingStats {
    std::uint64_t refusedByEstimate = 0;
    /// Statements and openings that an upstream answered `Busy`.
    std::uint64_t busyAnswers = 0;
    std::uint64_t windowDecreases = 0;
    std::uint64_t windowIncreases = 0;
    std::uint64_t waiting = 0;
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

    /// Executes a statement that another host has forwarded, for a session that exists only until the end of
    /// the operation. `id` is a number that the owner has not used for another session, unless it is for the
    /// next statement of the same transaction. The answer follows through the hooks.
    void handleForwarded(SessionId id, ForwardedStatement forwarded, Model::Time now);
    /// A pool host has answered the statement with this sequence number.
    void forwardAnswered(SessionId id, std::uint64_t sequence, Reply reply, Model::Time now);
    /// A pool host has not taken the statement, which certainly did not run.
    void forwardDeclined(SessionId id, std::uint64_t sequence, Model::Time now);
    /// The connection to a pool host was lost. Writes and commits that were sent on it are in doubt, open
    /// transactions are rolled back, and reads are tried again.
    void forwardLinkLost(ForwardLinkId link, Model::Time now);

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
    /// `nullopt` if the upstream is unknown (one that is no longer registered is known for a while) or the
    /// connection fails before a reply arrives.
    void command(const std::string& upstream, const Command& command, AnswerHook answered, Model::Time now);
    /// Requests the status of the upstream if it has left requests unanswered for a while. Has to be called
    /// every 100 ms for upstreams whose reachability decides on their replacement. `answered` is the same as
    /// that of `command`.
    void probeIfUnresponsive(const std::string& upstream, AnswerHook answered, Model::Time now);
    /// Sets when a new primary of the service is expected; `nullopt` if none is. Requests whose deadline is
    /// later stay queued until their time limit instead of being refused early.
    void setPrimaryExpected(const std::string& service, std::optional<Model::Time> at);
    /// Reports that the process was paused; replies may have arrived that are not read yet.
    void processPaused(Model::Time now) { m_reachability.processPaused(now); }
    void resetReachability(const std::string& upstream) { m_reachability.reset(upstream); }
    const Failover::Reachability& reachability() const { return m_reachability; }

    /// The shares of the upstreams' connections, and the other hosts' reports on which they are based.
    ConnectionLedger& ledger() { return m_ledger; }
    /// Sets the number of registered hosts and this host's place among them, for the limits of cold
    /// upstreams.
    void setHosts(int count, int rank) { m_router.setHosts(count, rank); }
    /// Enforces time limits, retries requests and closes surplus connections.
    void tick(Model::Time now);
    /// Returns the latest time at which `tick` has to be called next.
    Model::Time nextTick(Model::Time now) const;

    /// For a shutdown: ends every statement of this host's callers by `latest`. One that is still queued then
    /// is refused; one that runs is given up and answered like at its time limit.
    void limitDeadlines(Model::Time latest);
    /// Closes the sessions that have neither a transaction nor an unanswered statement, and from now on each
    /// other one as soon as that is true of it. Rejects sessions that wait for the first configuration.
    void closeIdleSessions();
    /// Rolls back the transactions that wait for their caller's next statement, and closes their sessions.
    /// From now on the next statement of each other transaction is answered with `Aborted`, and new
    /// operations are refused.
    void endTransactions(Model::Time now);
    /// Whether a statement that was received has not been answered, or waits for its admission.
    bool hasUnansweredStatements() const;
    /// Closes a connection that no session uses, which says nothing about the upstream's reachability.
    void closeUnused(ConnectionId id, Model::Time now) { endUse(id, now); }
    /// Memory that the session occupies; 0 if it does not exist.
    SessionBytes sessionBytes(SessionId id) const;
    std::size_t sessionCount() const { return m_sessions.size(); }
    const Pool& pool() const { return m_pool; }
    const Router& router() const { return m_router; }
    SchedulingStats schedulingStats() const;

private:
    /// A session with more pipelined statements than this is closed: its caller violates the protocol.
    static constexpr std::size_t maxPipelinedStatements = 64;
    /// Between two attempts of a statement that a busy upstream did not run.
    static constexpr Model::Duration busyPause = std::chrono::milliseconds(15);
    /// Connections to one upstream that this host opens at the same time. Opening one occupies an execution
    /// slot of the upstream.
    static constexpr int maxOpening = 2;
    /// A pool host answers a statement at its time limit; the answer needs some time to arrive.
    static constexpr Model::Duration forwardedReplySlack = std::chrono::milliseconds(150);
    /// A statement is tried on no more upstreams than a service usually has.
    static constexpr int maxAttempts = 4;

    /// A session that was requested before the first configuration was known.
    struct PendingOpen {
        std::string database;
        std::string key;
        Model::Time since;
        std::vector<Statement> pipelined;
    };

    /// The use of an upstream's execution slots.
    struct UpstreamSlots {
        SlotWindow window;
        /// Sessions whose open transaction waits for a slot, oldest first.
        std::deque<SessionId> transactions;
    };
    /// The requests that wait for the slots of a service.
    struct ServiceQueue {
        std::vector<std::string> upstreams;
        WaitQueue waiting;
        WaitEstimate estimate;
    };
    struct UsableUpstream;
    struct NextStart;

    Session* findSession(SessionId id);
    void acceptSession(SessionId id, std::string database, std::string key, Model::Time now);
    void handleBeforeOpen(SessionId id, Statement statement, Model::Time now);
    void checkPendingOpens(Model::Time now);
    bool beginOperation(Session& session, const Statement& statement, Model::Time now);
    bool awaitAdmission(Session& session, const Directory::Customer& customer, const Statement& statement,
        Model::Time since, Model::Time now);
    bool mayAdmit(const Directory::Customer& customer, bool hasWaited, Model::Time now);
    void leaveAdmissionQueue(SessionId id);
    void retryAdmissions(Model::Time now);
    void handlePipelined(SessionId id, Model::Time now);
    bool keepValue(Session& session, const Statement& statement);
    void answer(Session& session, const Statement& statement, Model::Time now);
    void startRequest(Session& session, Statement statement, Model::Time now);
    void handleInFailedTransaction(Session& session, const Statement& statement, Model::Time now);
    static Target ownTarget(const Session& session);
    bool forwardRequest(Session& session, Model::Time now);
    ForwardedStatement forwardedStatement(const Session& session, bool isContinued, Model::Time now) const;
    Session* findForwarded(SessionId id, std::uint64_t sequence);
    bool canExecute(const ForwardedStatement& forwarded, Model::Time now) const;
    Session& forwardedSession(SessionId id, const ForwardedStatement& forwarded);
    void removeIfOver(SessionId id);
    void checkForwarded(Session& session, Model::Time now);

    SlotWindow& slotWindow(const std::string& upstream);
    void holdSlot(Connection& connection, Model::Time now);
    void freeSlot(Connection& connection, SlotResult result, Model::Time now);
    void loseSlot(Connection& connection, Model::Time now);
    bool takeSlotInTransaction(Session& session, Connection& connection, Model::Time now);
    void awaitSlotAgain(Session& session, const Connection& connection);
    void removeFromQueues(const Session& session);
    WaitLane waitLane(const Session& session, const ServiceQueue& service, Model::Time now) const;
    ServiceQueue& serviceQueue(const std::string& name);
    void enqueue(Session& session, Model::Time now);
    static Model::Duration executionTime(const Session& session, const ServiceQueue& service);
    static Model::Duration latestStart(const Session& session, const ServiceQueue& service);
    static void pushWaiting(ServiceQueue& service, const WaitingRequest& request, Model::Time now);
    void enqueueAgain(Session& session, Model::Time now);
    Model::Duration expectedWait(
        const Session& session, const ServiceQueue& service, const WaitingRequest& request, Model::Time now);
    void refuseByEstimate(Session& session, Model::Duration wait, Model::Time now);
    void dispatchScheduled(Model::Time now);
    void dispatchService(ServiceQueue& service, Model::Time now);
    bool isBacklogged(const ServiceQueue& service) const;
    void sendInTransactions(const std::string& upstream, Model::Time now);
    std::vector<UsableUpstream> usableUpstreams(const ServiceQueue& service, Model::Time now);
    bool startNext(ServiceQueue& service, Model::Time now);
    NextStart findNext(const ServiceQueue& service, WaitLane lane, const std::vector<UsableUpstream>& usable,
        Model::Time now) const;
    bool needsOpening(const Session& session, const ServiceQueue& service,
        const std::vector<const Directory::Upstream*>& candidates) const;
    void checkScheduled(Session& session, Model::Time now);
    void abortWaiting(Session& session, Model::Time now);
    bool hasCandidates(const Session& session, Model::Time now);
    void updateSlots();

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
    void releaseIfUnused(ConnectionId id, Model::Time now);
    bool isAttemptFree(ResultCode code) const;
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
    static void exclude(Request& request, const std::string& upstream);
    static void separate(Session& session, Connection& connection, Model::Time now);
    void closeConnection(ConnectionId id);
    std::string chargedCustomer(const Connection& connection) const;
    void countUsage(const PendingReply& pending, SessionId id, ResultCode code);
    void failCommands(Connection& connection);
    void abandonConnection(ConnectionId id, Model::Time now);
    void removeLost(ConnectionId id, Model::Time now);
    void decidedOnConnection(DecisionKind kind, const Connection& connection, ResultCode code,
        std::string_view reason, Model::Time now) const;
    bool isUseAllowed(const Connection& connection, Model::Time now) const;
    void endUse(ConnectionId id, Model::Time now);
    bool mustWaitForColdUpstream(Request& request, const Connection& connection, Model::Time now);
    void balanceChanged(BalanceChange change, const std::string& subject, const std::string& inputs) const;
    void observePrimaries(Model::Time now);
    void checkRequest(Session& session, Model::Time now);
    static bool mayAbandon(const Session& session);
    bool isAnswerOverdue(const Session& session, Model::Time now) const;
    void checkTransaction(Session& session, Model::Time now);
    void abortTransaction(Session& session, std::string_view reason, Model::Time now);
    void endTransactionOnShutdown(Session& session, Model::Time now);
    void declineIfNotStarted(const Session& session, Model::Time now);
    void closeSurplus(Model::Time now);
    void rejectOpen(SessionId id, const std::string& database, ResultCode code, std::string_view reason);
    void decided(DecisionKind kind, const Session& session, ResultCode code, std::string_view reason,
        Model::Time now) const;
    static Decision decisionOf(DecisionKind kind, const Session& session, ResultCode code, Model::Time now);

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
    /// The customers of sessions whose operation waits for its admission.
    std::unordered_map<SessionId, std::string> m_awaitingAdmission;
    /// The number of such sessions by customer.
    std::map<std::string, std::size_t> m_admissionQueues;
    /// Sessions whose request has no connection yet, most urgent and oldest first.
    std::vector<SessionId> m_waiting;
    std::unordered_map<std::string, UpstreamSlots> m_slots;
    /// By service.
    std::map<std::string, ServiceQueue> m_queues;
    /// Services whose queue or transactions may have waiting statements.
    std::set<std::string> m_backlog;
    bool m_isDispatching = false;
    bool m_dispatchesAgain = false;
    /// Answers of `hasCandidates` since the last tick.
    std::map<std::tuple<std::string, Directory::RouteKind, Model::Duration, Target>, bool> m_hasCandidates;
    /// Earliest end of the pauses of busy upstreams.
    std::optional<Model::Time> m_pauseEnd;
    Model::Time m_tickedAt;
    SchedulingStats m_schedulingStats;
    ConnectionLedger m_ledger;
    std::uint64_t m_lastForwardSequence = 0;
    Model::Time m_nextSurplusCheck;
    /// No statement of this host's callers has a later deadline.
    Model::Time m_latestDeadline = Model::Time::max();
    bool m_closesIdleSessions = false;
    bool m_endsTransactions = false;
};

}
