#include "core/proxy/engine.h"

#include "core/proxy/reply.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Proxy {

Engine::Engine(const Directory::View& view, std::string zone, EngineHooks hooks, EngineSettings settings)
    : m_view(view)
    , m_hooks(std::move(hooks))
    , m_settings(settings)
    , m_router(view, m_pool, m_reachability, std::move(zone), m_hooks.mayUsePrimaries)
{
    if (m_settings.balancesUpstreams)
        m_router.balanceUpstreams(std::bind_front(&Engine::balanceChanged, this));
}

void Engine::handle(SessionId id, Statement statement, Model::Time now)
{
    Session* session = findSession(id);
    if (!session)
        return handleBeforeOpen(id, std::move(statement), now);
    session->lastActivity = now;
    if (session->request || m_awaitingAdmission.contains(id)) {
        if (session->pipelined.size() >= maxPipelinedStatements) {
            sessionClosed(id, now);
            m_hooks.closeSession(id);
            return;
        }
        session->pipelinedBytes += statementBytes(statement);
        session->pipelined.push_back(std::move(statement));
        return;
    }
    endTransactionOnShutdown(*session, now);
    if (session->state == TransactionState::Failed || session->isAborted)
        return handleInFailedTransaction(*session, statement, now);
    const bool isOperation = session->state == TransactionState::None
        && (needsUpstream(statement.kind) || statement.kind == StatementKind::Begin
            || statement.kind == StatementKind::BeginReadOnly);
    if (isOperation && !beginOperation(*session, statement, now))
        return;
    if (needsUpstream(statement.kind))
        startRequest(*session, std::move(statement), now);
    else
        answer(*session, statement, now);
}

/// Binds the session to the route and customer in force. Returns false if the operation was refused.
bool Engine::beginOperation(Session& session, const Statement& statement, Model::Time now)
{
    const auto refuseStart = [&](ResultCode code, std::string_view reason, std::string inputs = {}) {
        Decision decision { DecisionKind::RequestRefused, statement.id, session.database, session.customer };
        decision.code = code;
        decision.reason = reason;
        decision.inputs = std::move(inputs);
        decision.configuration = session.configuration->version;
        m_hooks.decided(decision);
        m_hooks.reply(session.id, errorReply(code, reason, TransactionState::None));
        return false;
    };
    const auto awaitedSince = std::exchange(session.admissionAwaitedSince, std::nullopt);
    session.configuration = m_view.configuration();
    session.route = session.configuration->findRoute(session.database);
    if (!session.route)
        return refuseStart(ResultCode::NoDatabase, "no route");
    const Directory::Customer* customer = session.configuration->findCustomerOfKey(session.key);
    if (!customer && !session.route->isOpen)
        return refuseStart(ResultCode::InvalidKey, "unknown key");
    session.customer = customer ? customer->name : std::string();
    session.hasWritten = false;
    session.isUsageCounted = false;
    if (statement.kind == StatementKind::Commit)
        return refuseStart(ResultCode::Malformed, "no transaction is open");
    // The process would end before many of them, and no other statement waits for this one.
    if (m_endsTransactions)
        return refuseStart(ResultCode::Busy, "shutdown");
    if (!customer)
        return true;
    if (mayAdmit(*customer, awaitedSince.has_value(), now))
        return true;
    if (awaitAdmission(session, *customer, statement, awaitedSince.value_or(now), now))
        return false;
    return refuseStart(ResultCode::Busy, "beyond the customer's rate", m_hooks.explainLimit(*customer));
}

/// Answers a statement that needs no upstream.
void Engine::answer(Session& session, const Statement& statement, Model::Time now)
{
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        if (session.state == TransactionState::Open) {
            m_hooks.reply(session.id,
                errorReply(ResultCode::Malformed, "a transaction is open", TransactionState::Open));
            return;
        }
        session.state = TransactionState::Open;
        session.isReadOnlyTransaction = statement.kind == StatementKind::BeginReadOnly;
        m_active.insert(session.id);
        break;
    case StatementKind::Rollback:
        detach(session, now);
        session.state = TransactionState::None;
        m_active.erase(session.id);
        break;
    case StatementKind::Set:
    case StatementKind::Prepare:
        if (!keepValue(session, statement))
            return;
        break;
    case StatementKind::Close:
        closePrepared(session.context, statement.name);
        break;
    default:
        m_hooks.reply(session.id, errorReply(ResultCode::Malformed, "unknown statement", session.state));
        return;
    }
    m_hooks.reply(session.id, localReply(session.state, session.lastCommit));
}

void Engine::handleInFailedTransaction(Session& session, const Statement& statement, Model::Time now)
{
    const bool wasAborted = session.isAborted;
    session.isAborted = false;
    session.state = TransactionState::Failed;
    const bool ends = statement.kind == StatementKind::Rollback || statement.kind == StatementKind::Commit;
    if (ends) {
        detach(session, now);
        session.state = TransactionState::None;
        m_active.erase(session.id);
    }
    if (statement.kind == StatementKind::Rollback) {
        m_hooks.reply(session.id, localReply(session.state, session.lastCommit));
        return;
    }
    const ResultCode code = wasAborted || ends ? ResultCode::Aborted : ResultCode::Malformed;
    m_hooks.reply(session.id, errorReply(code, "the transaction was rolled back", session.state));
}

void Engine::startRequest(Session& session, Statement statement, Model::Time now)
{
    const PreparedShape* shape = nullptr;
    if (statement.kind == StatementKind::Execute) {
        const auto found = session.context.prepared.find(statement.name);
        if (found == session.context.prepared.end()) {
            m_hooks.reply(session.id,
                errorReply(ResultCode::UnknownStatement, "no such prepared statement", session.state));
            return;
        }
        shape = &found->second;
    }
    Request request;
    request.isWrite = isWrite(statement, shape);
    request.statement = std::move(statement);
    request.arrivedAt = now;
    request.deadline = now + session.route->statementTimeout;
    if (!session.forwardedRoute)
        request.deadline = std::min(request.deadline, m_latestDeadline);
    if (session.isTraced || m_hooks.isNextTraced())
        request.trace.emplace();
    session.request = std::move(request);
    session.request->target = ownTarget(session);
    m_active.insert(session.id);
    if (session.request->target == Target::Transaction) {
        Connection* connection = m_pool.find(session.connection);
        session.request->upstream = connection->upstream;
        if (!isUseAllowed(*connection, now))
            return endUse(connection->id, now);
        enterHop(*session.request, HopKind::Upstream, now);
        startStatement(session, *connection, commandsToMatch(*connection, session.context, shape), now);
        return;
    }
    if (forwardRequest(session, now))
        return;
    enterHop(*session.request, HopKind::Queue, now);
    if (m_settings.schedulesStatements)
        return enqueue(session, now);
    m_waiting.push_back(session.id);
    dispatch(now);
}

/// Returns which upstreams may run the request if this host executes it.
Target Engine::ownTarget(const Session& session)
{
    if (session.connection != 0)
        return Target::Transaction;
    const bool isReadOnly
        = session.state == TransactionState::Open ? session.isReadOnlyTransaction : !session.request->isWrite;
    const bool isFresh = session.route->kind != Directory::RouteKind::Primary && isReadOnly;
    return isFresh ? Target::Fresh : Target::Primary;
}

/// Assigns connections to waiting requests, by the priority of their routes and then by age.
void Engine::dispatch(Model::Time now)
{
    if (m_settings.schedulesStatements)
        return dispatchScheduled(now);
    if (m_waiting.empty())
        return;
    std::ranges::stable_sort(
        m_waiting, {}, [this](SessionId id) { return m_sessions.at(id).route->priority; });
    std::vector<SessionId> left;
    for (const SessionId id : std::exchange(m_waiting, {})) {
        Session& session = m_sessions.at(id);
        if (!tryAssign(session, now))
            left.push_back(id);
    }
    m_waiting.insert(m_waiting.begin(), left.begin(), left.end());
}

bool Engine::tryAssign(Session& session, Model::Time now)
{
    Request& request = *session.request;
    if (request.retryAt && now < *request.retryAt)
        return false;
    const auto candidates = m_router.candidates(session, request, now);
    if (candidates.empty())
        return false;
    // Opening a connection costs the upstream as much as a statement or two, so any idle one is used first.
    for (const Directory::Upstream* upstream : candidates) {
        if (Connection* connection = m_pool.findIdle(upstream->id, session.customer)) {
            assign(session, *connection, now);
            return true;
        }
    }
    const Connection* opening = m_pool.find(request.opening);
    if (opening && opening->state == ConnectionState::Opening)
        return false;
    for (const Directory::Upstream* upstream : candidates) {
        request.opening = openFor(session, *upstream, now);
        if (request.opening != 0)
            break;
    }
    return false;
}

/// Opens a connection to the upstream for a waiting session. Returns 0 if none may be opened now.
ConnectionId Engine::openFor(const Session& session, const Directory::Upstream& upstream, Model::Time now)
{
    const ConnectionShare limits = share(upstream.service, upstream.id);
    if (!m_pool.mayOpen(upstream.id, limits.maximum + 1, now)
        || m_pool.countOpening(upstream.id) >= maxOpening)
        return 0;
    const bool isScheduled = m_settings.schedulesStatements;
    if (!isScheduled && m_pool.mustReserveSlots(upstream.id, session.customer, now))
        return 0;
    // The requests of an idle connection's customer may be waiting for a slot, so it is closed only if that
    // is necessary.
    if (m_pool.count(upstream.id) >= (isScheduled ? limits.maximum : limits.guaranteed)) {
        if (const Connection* other = m_pool.findEvictable(upstream.id, session.customer))
            closeConnection(other->id);
    }
    if (m_pool.count(upstream.id) >= limits.maximum)
        return 0;
    Connection& connection = m_pool.add(upstream, session.customer, now);
    holdSlot(connection, now);
    m_reachability.requestSent(upstream.id, now);
    m_hooks.connect(connection.id, upstream, session.customer);
    return connection.id;
}

void Engine::assign(Session& session, Connection& connection, Model::Time now)
{
    Request& request = *session.request;
    connection.state = ConnectionState::InUse;
    connection.session = session.id;
    connection.changedAt = now;
    session.connection = connection.id;
    holdSlot(connection, now);
    ++request.attempts;
    request.retryAt.reset();
    request.upstream = connection.upstream;
    m_router.observeSent(connection.upstream, now);
    enterHop(request, HopKind::Upstream, now);
    const PreparedShape* shape = nullptr;
    if (request.statement.kind == StatementKind::Execute)
        shape = &session.context.prepared.at(request.statement.name);
    startStatement(session, connection, commandsToMatch(connection, session.context, shape), now);
}

/// Sends the statement of a request, after `preparation` and, if only the primary may run it, a BEGIN. The
/// statement follows once the upstream has completed them: it must run neither with other session values nor
/// outside its transaction.
void Engine::startStatement(
    Session& session, Connection& connection, std::vector<Command> preparation, Model::Time now)
{
    Request& request = *session.request;
    std::optional<Model::LogPosition> after;
    if (request.target == Target::Fresh)
        after = m_router.requiredPosition(session, now);
    if (request.target != Target::Transaction) {
        connection.reliesOnPrimary = !after;
        const bool isTransaction = session.state == TransactionState::Open;
        // Only the primary begins a transaction for writing, so a read inside one cannot run on a previous
        // primary.
        if (isTransaction || (!request.isWrite && !after)) {
            const bool isReadOnly = isTransaction && after;
            preparation.push_back(
                { isReadOnly ? CommandKind::BeginReadOnly : CommandKind::Begin, {}, after });
        }
    }
    if (preparation.empty())
        return sendStatement(session, connection, now);
    request.phase = RequestPhase::Preparing;
    send(connection, preparation, now);
}

void Engine::sendStatement(Session& session, Connection& connection, Model::Time now)
{
    Request& request = *session.request;
    if (mustWaitForColdUpstream(request, connection, now))
        return;
    if (!takeSlotInTransaction(session, connection, now))
        return;
    std::vector<Command> commands { statementCommand(session, connection) };
    if (request.target == Target::Fresh && session.state == TransactionState::None
        && !connection.isInTransaction)
        commands.back().after = m_router.requiredPosition(session, now);
    if (connection.isInTransaction && session.state == TransactionState::None)
        commands.push_back({ CommandKind::Rollback });
    request.phase = RequestPhase::Running;
    request.sentAt = now;
    send(connection, commands, now);
}

Command Engine::statementCommand(const Session& session, const Connection& connection) const
{
    Command command { CommandKind::Statement, session.request->statement };
    if (command.statement.kind == StatementKind::Execute)
        command.statement.name = connection.prepared.at(session.context.prepared.at(command.statement.name));
    return command;
}

/// Queues a request that did not run for its next attempt, or refuses it after the last one.
void Engine::retry(Session& session, std::string_view reason, Model::Time now)
{
    Request& request = *session.request;
    request.phase = RequestPhase::Waiting;
    enterHop(request, HopKind::Queue, now);
    decided(DecisionKind::RequestRetried, session, request.lastCode, reason, now);
    if (request.attempts >= maxAttempts)
        return refuse(session, ResultCode::Busy, "no upstream ran it", now);
    if (request.target == Target::Forwarded) {
        request.target = ownTarget(session);
        if (forwardRequest(session, now))
            return;
    }
    if (request.lastCode == ResultCode::Busy && !m_settings.schedulesStatements)
        request.retryAt = now + busyPause;
    if (request.target == Target::Fresh && m_router.candidates(session, request, now).empty()) {
        request.target = Target::Primary;
        std::erase_if(request.excluded, [&](const std::string& id) {
            const Directory::Upstream* primary = m_router.primary(session.route->service, now);
            return primary && primary->id == id;
        });
    }
    if (m_settings.schedulesStatements)
        return enqueueAgain(session, now);
    m_waiting.push_back(session.id);
    dispatch(now);
}

/// Records the next hop of a traced request.
void Engine::enterHop(Request& request, HopKind kind, Model::Time now)
{
    if (!request.trace)
        return;
    const bool isAtUpstream = kind == HopKind::Upstream;
    request.trace->enter(kind, isAtUpstream ? request.upstream : std::string(),
        isAtUpstream ? ResultCode::Complete : request.lastCode, now);
}

void Engine::finish(Session& session, const Reply& reply, Model::Time now)
{
    const SessionId id = session.id;
    if (session.state != TransactionState::Open)
        session.link = 0;
    if (session.request->trace)
        session.request->trace->end(reply.code, now);
    m_hooks.answered(session, reply.code, now - session.request->arrivedAt);
    session.request.reset();
    session.lastActivity = now;
    if (session.state == TransactionState::None)
        m_active.erase(id);
    m_hooks.reply(id, reply);
    handlePipelined(id, now);
    removeIfOver(id);
    // Otherwise a caller that sends one statement after the other would be cut at the end of the shutdown.
    if (m_closesIdleSessions && isIdle(id) && m_sessions.erase(id) != 0)
        m_hooks.closeSession(id);
}

/// Handles the statements that were received while another one was not answered yet.
void Engine::handlePipelined(SessionId id, Model::Time now)
{
    // A pipelined statement that needs no upstream is answered at once, so the next one can follow.
    for (Session* session = findSession(id);
         session && !session->request && !m_awaitingAdmission.contains(id) && !session->pipelined.empty();
         session = findSession(id)) {
        Statement next = std::move(session->pipelined.front());
        session->pipelined.pop_front();
        session->pipelinedBytes -= statementBytes(next);
        handle(id, std::move(next), now);
    }
}

/// Ends a request that is certain not to have run.
void Engine::refuse(Session& session, ResultCode code, std::string_view reason, Model::Time now)
{
    std::erase(m_waiting, session.id);
    removeFromQueues(session);
    decided(DecisionKind::RequestRefused, session, code, reason, now);
    if (session.state == TransactionState::Open)
        session.state = TransactionState::Failed;
    finish(session, errorReply(code, reason, session.state), now);
}

void Engine::decided(DecisionKind kind, const Session& session, ResultCode code, std::string_view reason,
    Model::Time now) const
{
    Decision decision = decisionOf(kind, session, code, now);
    decision.reason = reason;
    m_hooks.decided(decision);
}

Decision Engine::decisionOf(DecisionKind kind, const Session& session, ResultCode code, Model::Time now)
{
    Decision decision;
    decision.kind = kind;
    decision.database = session.database;
    decision.customer = session.customer;
    decision.code = code;
    decision.configuration = session.configuration ? session.configuration->version : 0;
    if (session.request) {
        decision.request = session.request->statement.id;
        decision.age = now - session.request->arrivedAt;
        decision.attempts = session.request->attempts;
        decision.upstream = session.request->upstream;
    }
    return decision;
}

Session* Engine::findSession(SessionId id)
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : &found->second;
}

ConnectionShare Engine::share(const std::string& service, const std::string& upstream) const
{
    const auto& configuration = m_view.configuration();
    const Directory::Service* settings = configuration ? configuration->findService(service) : nullptr;
    const int limit = settings ? settings->maxConnections : 0;
    if (m_hooks.poolHostCount)
        return m_ledger.share(upstream, limit, m_hooks.poolHostCount(service));
    return m_ledger.share(upstream, limit);
}

}
