#include "core/proxy/engine.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Proxy {

namespace {

    /// A caller that sends this many statements ahead of their answers is not following the protocol.
    constexpr std::size_t maxEarlyStatements = 64;
    /// Between two tries of a statement that a busy upstream did not run.
    constexpr Model::Duration busyPause = std::chrono::milliseconds(15);
    /// Connections that this host opens to one upstream at a time: opening takes the upstream's slots.
    constexpr int maxOpening = 2;
    /// A single statement is tried at no more upstreams than a service usually has.
    constexpr int maxAttempts = 4;
    constexpr Model::Duration surplusCheckPeriod = std::chrono::milliseconds(400);
    /// A connection that is not open by then counts as unreachable.
    constexpr Model::Duration openTimeout = std::chrono::milliseconds(700);
    /// A connection that does not answer messages of our own by then is closed.
    constexpr Model::Duration settleTimeout = std::chrono::seconds(2);
    /// How often running statements are looked at.
    constexpr Model::Duration overdueCheckPeriod = std::chrono::milliseconds(100);
    /// The answer of an upstream that works at its time limit is still on its way then.
    constexpr Model::Duration replySlack = std::chrono::milliseconds(50);
    /// A request is refused after this share of its target latency if nothing can run it; held longer, the
    /// caller would lose time that it needs for its own retry.
    constexpr int holdDivisor = 5;

    Reply localReply(TransactionState state, Model::LogPosition position)
    {
        Reply reply;
        reply.state = state;
        reply.position = position;
        return reply;
    }

    Reply errorReply(ResultCode code, std::string_view text, TransactionState state)
    {
        Reply reply;
        reply.code = code;
        reply.text = std::string(text);
        reply.state = state;
        return reply;
    }

}

Engine::Engine(const Directory::View& view, std::string zone, EngineHooks hooks)
    : m_view(view)
    , m_hooks(std::move(hooks))
    , m_router(view, m_pool, m_reachability, std::move(zone))
{
}

void Engine::openSession(SessionId id, std::string database, std::string key, Model::Time now)
{
    const auto& configuration = m_view.configuration();
    if (!configuration)
        return rejectOpen(id, database, ResultCode::Busy, "no configuration yet");
    const Directory::Route* route = configuration->findRoute(database);
    if (!route)
        return rejectOpen(id, database, ResultCode::NoDatabase, "no route");
    if (!route->isOpen && !configuration->findCustomerOfKey(key))
        return rejectOpen(id, database, ResultCode::InvalidKey, "unknown key");
    Session& session = m_sessions[id];
    session.id = id;
    session.database = std::move(database);
    session.key = std::move(key);
    session.lastActivity = now;
    m_hooks.reply(id, localReply(TransactionState::None, {}));
}

void Engine::rejectOpen(SessionId id, const std::string& database, ResultCode code, std::string_view reason)
{
    Decision decision;
    decision.kind = DecisionKind::SessionRejected;
    decision.database = database;
    decision.configuration = m_view.configuration() ? m_view.configuration()->version : 0;
    decision.code = code;
    decision.reason = reason;
    m_hooks.decided(decision);
    m_hooks.rejectSession(id, code, reason);
}

void Engine::handle(SessionId id, Statement statement, Model::Time now)
{
    Session* session = findSession(id);
    if (!session)
        return;
    session->lastActivity = now;
    if (session->request) {
        if (session->early.size() >= maxEarlyStatements) {
            sessionClosed(id, now);
            m_hooks.closeSession(id);
            return;
        }
        session->early.push_back(std::move(statement));
        return;
    }
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
    const auto refuseStart = [&](ResultCode code, std::string_view reason) {
        Decision decision { DecisionKind::RequestRefused, statement.id, session.database, session.customer };
        decision.code = code;
        decision.reason = reason;
        decision.configuration = session.configuration->version;
        m_hooks.decided(decision);
        m_hooks.reply(session.id, errorReply(code, reason, TransactionState::None));
        return false;
    };
    session.configuration = m_view.configuration();
    session.route = session.configuration->findRoute(session.database);
    if (!session.route)
        return refuseStart(ResultCode::NoDatabase, "no route");
    const Directory::Customer* customer = session.configuration->findCustomerOfKey(session.key);
    if (!customer && !session.route->isOpen)
        return refuseStart(ResultCode::InvalidKey, "unknown key");
    session.customer = customer ? customer->name : std::string();
    session.hasWritten = false;
    if (statement.kind == StatementKind::Commit)
        return refuseStart(ResultCode::Malformed, "no transaction is open");
    if (customer && !m_hooks.admit(*customer, now))
        return refuseStart(ResultCode::Busy, "beyond the customer's rate");
    return true;
}

/// Answers what needs no upstream.
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
        session.context.values[statement.name] = statement.argument;
        break;
    case StatementKind::Prepare:
        session.context.prepared[statement.name] = { statement.prepared, statement.argument };
        break;
    case StatementKind::Close:
        session.context.prepared.erase(statement.name);
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
    const bool isFresh = session.route->kind != Directory::RouteKind::Primary
        && (session.state == TransactionState::Open ? session.isReadOnlyTransaction : !request.isWrite);
    if (session.connection != 0)
        request.target = Target::Transaction;
    else
        request.target = isFresh ? Target::Fresh : Target::Primary;
    session.request = std::move(request);
    m_active.insert(session.id);
    if (session.request->target == Target::Transaction) {
        Connection* connection = m_pool.find(session.connection);
        sendStatement(session, *connection, commandsToMatch(*connection, session.context, shape), now);
        return;
    }
    m_waiting.push_back(session.id);
    dispatch(now);
}

void Engine::sessionClosed(SessionId id, Model::Time now)
{
    Session* session = findSession(id);
    if (!session)
        return;
    detach(*session, now);
    m_active.erase(id);
    std::erase(m_waiting, id);
    m_sessions.erase(id);
    dispatch(now);
}

/// Gives every waiting request a connection if there is one.
void Engine::dispatch(Model::Time now)
{
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

/// Opens a connection for a waiting session if the upstream takes one. Returns 0 if it does not.
ConnectionId Engine::openFor(const Session& session, const Directory::Upstream& upstream, Model::Time now)
{
    const ConnectionShare limits = share(upstream.service, upstream.id);
    if (!m_pool.mayOpen(upstream.id, limits.most + 1, now) || m_pool.countOpening(upstream.id) >= maxOpening)
        return 0;
    if (m_pool.count(upstream.id) >= limits.kept) {
        if (const Connection* other = m_pool.findEvictable(upstream.id, session.customer))
            closeConnection(other->id);
    }
    if (m_pool.count(upstream.id) >= limits.most)
        return 0;
    const Connection& connection = m_pool.add(upstream, session.customer, now);
    m_reachability.sent(upstream.id, now);
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
    ++request.attempts;
    const PreparedShape* shape = nullptr;
    if (request.statement.kind == StatementKind::Execute)
        shape = &session.context.prepared.at(request.statement.name);
    std::vector<Command> commands = commandsToMatch(connection, session.context, shape);
    std::optional<Model::LogPosition> after;
    if (request.target == Target::Fresh)
        after = m_router.requiredPosition(session, now);
    const bool isTransaction = session.state == TransactionState::Open;
    if (isTransaction || (!request.isWrite && !after)) {
        // The upstream refuses to begin a transaction for writing unless it leads, so a read inside one
        // cannot run on a former primary. Nothing may follow before that is known.
        const bool isReadOnly = isTransaction && after;
        commands.push_back({ isReadOnly ? CommandKind::BeginReadOnly : CommandKind::Begin, {}, after });
        request.phase = RequestPhase::Preparing;
        send(connection, commands, now);
        return;
    }
    sendStatement(session, connection, std::move(commands), now);
}

void Engine::sendStatement(
    Session& session, Connection& connection, std::vector<Command> commands, Model::Time now)
{
    Request& request = *session.request;
    commands.push_back(statementCommand(session, connection));
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

void Engine::send(Connection& connection, const std::vector<Command>& commands, Model::Time now)
{
    for (const Command& command : commands)
        connection.pending.push_back({ command.kind, now, {} });
    connection.changedAt = now;
    m_reachability.sent(connection.upstream, now);
    m_hooks.send(connection.id, commands);
}

void Engine::connectionOpened(ConnectionId id, Model::LogPosition position, Model::Time now)
{
    Connection* connection = m_pool.find(id);
    if (!connection || connection->state != ConnectionState::Opening)
        return;
    connection->state = ConnectionState::Idle;
    connection->changedAt = now;
    m_reachability.heard(connection->upstream, now);
    m_router.observePosition(connection->upstream, position);
    if (connection->first) {
        connection->state = ConnectionState::Settling;
        send(*connection, { *connection->first }, now);
        connection->pending.back().answered = std::move(connection->firstAnswered);
    }
    dispatch(now);
}

void Engine::command(
    const std::string& upstream, const Command& command, AnswerHook answered, Model::Time now)
{
    Connection* connection = m_pool.findAnyIdle(upstream);
    if (connection) {
        connection->state = ConnectionState::Settling;
        send(*connection, { command }, now);
        connection->pending.back().answered = std::move(answered);
        return;
    }
    const Directory::Upstream* target = m_view.findUpstream(upstream);
    if (!target)
        return answered(std::nullopt);
    // Upstreams accept messages of the proxy itself without a customer.
    Connection& opened = m_pool.add(*target, {}, now);
    opened.first = command;
    opened.firstAnswered = std::move(answered);
    m_reachability.sent(upstream, now);
    m_hooks.connect(opened.id, *target, {});
}

/// Tells those who wait for answers on a lost connection that none will come.
void Engine::failCommands(Connection& connection)
{
    if (connection.firstAnswered)
        connection.firstAnswered(std::nullopt);
    for (const PendingReply& pending : connection.pending) {
        if (pending.answered)
            pending.answered(std::nullopt);
    }
}

void Engine::setPrimaryExpected(const std::string& service, std::optional<Model::Time> at)
{
    if (at)
        m_primaryExpected[service] = *at;
    else
        m_primaryExpected.erase(service);
}

void Engine::connectionRefused(ConnectionId id, ResultCode code, Model::Time now)
{
    Connection* connection = m_pool.find(id);
    if (!connection)
        return;
    Decision decision;
    decision.kind = DecisionKind::ConnectionRefused;
    decision.customer = connection->customer;
    decision.upstream = connection->upstream;
    decision.code = code;
    decision.age = now - connection->changedAt;
    m_hooks.decided(decision);
    m_reachability.heard(connection->upstream, now);
    if (code == ResultCode::ConnectionLimit)
        m_pool.refused(connection->upstream, now);
    else
        m_pool.unreachable(connection->upstream, now);
    Connection refused = m_pool.take(id);
    failCommands(refused);
    dispatch(now);
}

void Engine::connectionReply(ConnectionId id, Reply reply, Model::Time now)
{
    Connection* connection = m_pool.find(id);
    if (!connection)
        return;
    if (connection->pending.empty())
        return connectionLost(id, now);
    const PendingReply pending = std::move(connection->pending.front());
    connection->pending.pop_front();
    m_reachability.heard(connection->upstream, now);
    if (reply.position != Model::LogPosition {})
        m_router.observePosition(connection->upstream, reply.position);
    switch (pending.kind) {
    case CommandKind::Begin:
    case CommandKind::BeginReadOnly:
        beginAnswered(*connection, pending.kind, reply, pending.sentAt, now);
        break;
    case CommandKind::Statement:
        statementAnswered(*connection, std::move(reply), pending.sentAt, now);
        break;
    case CommandKind::Rollback:
        connection->isInTransaction = false;
        break;
    case CommandKind::Reset:
    case CommandKind::Set:
    case CommandKind::Prepare:
        // The record of the connection is wrong now.
        if (reply.code != ResultCode::Complete) {
            m_hooks.disconnect(id);
            return connectionLost(id, now);
        }
        break;
    case CommandKind::Status:
    case CommandKind::StepDown:
        if (pending.answered)
            pending.answered(reply);
        break;
    }
    connection = m_pool.find(id);
    if (!connection || connection->session != 0 || !connection->pending.empty())
        return;
    if (connection->state == ConnectionState::InUse || connection->state == ConnectionState::Settling)
        release(*connection, now);
}

void Engine::beginAnswered(
    Connection& connection, CommandKind kind, const Reply& reply, Model::Time sentAt, Model::Time now)
{
    if (reply.code == ResultCode::Complete) {
        connection.isInTransaction = true;
        if (kind == CommandKind::Begin)
            m_router.observeLead(connection.service, connection.upstream, reply.position, sentAt);
        if (Session* session = findSession(connection.session))
            sendStatement(*session, connection, {}, now);
        return;
    }
    if (reply.code == ResultCode::ReadOnly)
        m_router.observeNoLead(connection.upstream, now);
    if (reply.code == ResultCode::Lagging)
        m_router.observeLag(connection.upstream, now);
    Session* session = findSession(connection.session);
    if (!session)
        return;
    session->request->lastCode = reply.code;
    if (reply.code == ResultCode::ReadOnly)
        --session->request->attempts;
    else if (reply.code != ResultCode::Busy)
        session->request->avoided.push_back(connection.upstream);
    connection.session = 0;
    session->connection = 0;
    retry(*session, "transaction not begun", now);
}

void Engine::statementAnswered(Connection& connection, Reply reply, Model::Time sentAt, Model::Time now)
{
    m_router.observeAnswer(connection.upstream, sentAt, now);
    Session* session = findSession(connection.session);
    if (!session) {
        connection.isInTransaction = reply.state != TransactionState::None;
        return;
    }
    if (reply.code == ResultCode::Complete)
        return completed(*session, connection, std::move(reply), sentAt, now);
    if (session->state == TransactionState::None)
        return failedAlone(*session, connection, reply, now);
    failedInTransaction(*session, connection, reply, now);
}

void Engine::completed(
    Session& session, Connection& connection, Reply reply, Model::Time sentAt, Model::Time now)
{
    const Request& request = *session.request;
    const bool isCommit = request.statement.kind == StatementKind::Commit;
    const bool isSingleWrite = session.state == TransactionState::None && request.isWrite;
    if (isSingleWrite || (isCommit && session.hasWritten)) {
        // An answered write proves that the upstream led when it ran.
        m_router.observeLead(connection.service, connection.upstream, reply.position, sentAt);
        session.lastCommit = std::max(session.lastCommit, reply.position);
    }
    if (request.isWrite)
        session.hasWritten = true;
    if (isCommit) {
        connection.isInTransaction = false;
        session.state = TransactionState::None;
    }
    reply.state = session.state;
    if (session.state == TransactionState::None) {
        connection.session = 0;
        session.connection = 0;
        // The session's next statement may be here already, and finds its connection idle.
        if (connection.pending.empty())
            release(connection, now);
    }
    finish(session, std::move(reply), now);
}

/// A statement outside a transaction did not succeed.
void Engine::failedAlone(Session& session, Connection& connection, const Reply& reply, Model::Time now)
{
    Request& request = *session.request;
    const std::string upstream = connection.upstream;
    request.lastCode = reply.code;
    connection.session = 0;
    session.connection = 0;
    if (reply.code == ResultCode::ReadOnly)
        m_router.observeNoLead(upstream, now);
    if (reply.code == ResultCode::Lagging) {
        m_router.observeLag(upstream, now);
        request.sawLag = true;
    }
    const bool mayRepeat = resultInfo(reply.code).isNotRun || !request.isWrite;
    if (!mayRepeat || reply.code == ResultCode::Malformed) {
        finish(session, errorReply(reply.code, reply.text, TransactionState::None), now);
        return;
    }
    if (reply.code == ResultCode::UnknownStatement)
        closeConnection(connection.id);
    // An upstream that does not lead is left out for a while by the router.
    if (reply.code == ResultCode::ReadOnly)
        --request.attempts;
    else if (reply.code != ResultCode::Busy && reply.code != ResultCode::UnknownStatement)
        request.avoided.push_back(upstream);
    retry(session, "upstream did not run it", now);
}

void Engine::failedInTransaction(
    Session& session, Connection& connection, const Reply& reply, Model::Time now)
{
    Request& request = *session.request;
    const bool isCommit = request.statement.kind == StatementKind::Commit;
    if (reply.code == ResultCode::Busy && reply.state == TransactionState::Open
        && now + busyPause < request.deadline) {
        request.phase = RequestPhase::Preparing;
        request.retryAt = now + busyPause;
        return;
    }
    if (reply.code == ResultCode::ReadOnly)
        m_router.observeNoLead(connection.upstream, now);
    session.state = isCommit ? TransactionState::None : TransactionState::Failed;
    connection.isInTransaction = reply.state != TransactionState::None;
    connection.session = 0;
    session.connection = 0;
    decided(DecisionKind::TransactionAborted, session, reply.code, "statement failed", now);
    finish(session, errorReply(reply.code, reply.text, session.state), now);
}

/// Sends a request that did not run back to the queue, or refuses it.
void Engine::retry(Session& session, std::string_view reason, Model::Time now)
{
    Request& request = *session.request;
    request.phase = RequestPhase::Waiting;
    decided(DecisionKind::RequestRetried, session, request.lastCode, reason, now);
    if (request.attempts >= maxAttempts)
        return refuse(session, ResultCode::Busy, "no upstream ran it", now);
    if (request.lastCode == ResultCode::Busy)
        request.retryAt = now + busyPause;
    if (request.target == Target::Fresh && m_router.candidates(session, request, now).empty()) {
        request.target = Target::Primary;
        std::erase_if(request.avoided, [&](const std::string& id) {
            const Directory::Upstream* leader = m_router.primary(session.route->service, now);
            return leader && leader->id == id;
        });
    }
    m_waiting.push_back(session.id);
    dispatch(now);
}

void Engine::finish(Session& session, Reply reply, Model::Time now)
{
    const SessionId id = session.id;
    m_hooks.answered(session, reply.code, now - session.request->arrivedAt);
    session.request.reset();
    session.lastActivity = now;
    if (session.state == TransactionState::None)
        m_active.erase(id);
    m_hooks.reply(id, reply);
    // Statements that are answered here leave the turn to the next one.
    for (Session* present = findSession(id); present && !present->request && !present->early.empty();
         present = findSession(id)) {
        Statement next = std::move(present->early.front());
        present->early.pop_front();
        handle(id, std::move(next), now);
    }
}

/// Ends a request that certainly did not run.
void Engine::refuse(Session& session, ResultCode code, std::string_view reason, Model::Time now)
{
    std::erase(m_waiting, session.id);
    decided(DecisionKind::RequestRefused, session, code, reason, now);
    if (session.state == TransactionState::Open)
        session.state = TransactionState::Failed;
    finish(session, errorReply(code, reason, session.state), now);
}

void Engine::connectionLost(ConnectionId id, Model::Time now)
{
    Connection* connection = m_pool.find(id);
    if (!connection)
        return;
    Connection lost = m_pool.take(id);
    if (lost.state != ConnectionState::Idle)
        m_reachability.failed(lost.upstream, now);
    if (lost.state != ConnectionState::Idle) {
        Decision decision;
        decision.kind = DecisionKind::ConnectionLost;
        decision.customer = lost.customer;
        decision.upstream = lost.upstream;
        decision.age = now - lost.changedAt;
        m_hooks.decided(decision);
        m_router.observeFailure(lost.upstream, now);
    }
    failCommands(lost);
    if (lost.state == ConnectionState::Opening)
        m_pool.unreachable(lost.upstream, now);
    if (Session* session = findSession(lost.session)) {
        session->connection = 0;
        lostInUse(*session, lost.upstream, now);
    }
    dispatch(now);
}

/// The session's connection is gone.
void Engine::lostInUse(Session& session, const std::string& upstream, Model::Time now)
{
    if (!session.request) {
        session.isAborted = session.state == TransactionState::Open;
        return;
    }
    Request& request = *session.request;
    request.lastCode = ResultCode::Failed;
    const bool isStarted = request.target == Target::Transaction || session.hasWritten;
    const bool isTransaction = session.state == TransactionState::Open;
    if (request.phase != RequestPhase::Running && !isStarted) {
        request.avoided.push_back(upstream);
        return retry(session, "connection lost before it was sent", now);
    }
    if (isTransaction) {
        const bool isCommit = request.statement.kind == StatementKind::Commit;
        const bool isInDoubt = isCommit && session.hasWritten && request.phase == RequestPhase::Running;
        session.state = isCommit ? TransactionState::None : TransactionState::Failed;
        const ResultCode code = isInDoubt ? ResultCode::InDoubt : ResultCode::Aborted;
        decided(isInDoubt ? DecisionKind::RequestInDoubt : DecisionKind::TransactionAborted, session, code,
            "connection lost", now);
        finish(session, errorReply(code, "the connection to the upstream was lost", session.state), now);
        return;
    }
    if (request.isWrite) {
        decided(DecisionKind::RequestInDoubt, session, ResultCode::InDoubt, "connection lost", now);
        finish(session,
            errorReply(ResultCode::InDoubt, "the connection to the upstream was lost", session.state), now);
        return;
    }
    request.avoided.push_back(upstream);
    retry(session, "connection lost", now);
}

/// Returns a connection that no session uses to the pool, after a roll-back if it is in a transaction.
void Engine::release(Connection& connection, Model::Time now)
{
    if (connection.isInTransaction) {
        connection.state = ConnectionState::Settling;
        const std::array commands { Command { CommandKind::Rollback } };
        connection.pending.push_back({ CommandKind::Rollback, now });
        m_hooks.send(connection.id, commands);
        return;
    }
    connection.state = ConnectionState::Idle;
    connection.changedAt = now;
    const Directory::Upstream* upstream = m_view.findUpstream(connection.upstream);
    if (!upstream || !m_view.takesWork(*upstream))
        closeConnection(connection.id);
    dispatch(now);
}

/// Separates the session from its connection, which goes back to the pool once it has answered.
void Engine::detach(Session& session, Model::Time now)
{
    Connection* connection = m_pool.find(session.connection);
    session.connection = 0;
    if (!connection)
        return;
    connection->session = 0;
    connection->changedAt = now;
    if (connection->pending.empty())
        release(*connection, now);
    else
        connection->state = ConnectionState::Settling;
}

void Engine::closeConnection(ConnectionId id)
{
    m_pool.remove(id);
    m_hooks.disconnect(id);
}

void Engine::directoryChanged(Model::Time now)
{
    std::vector<ConnectionId> closing;
    for (const auto& [id, connection] : m_pool.connections()) {
        const Directory::Upstream* upstream = m_view.findUpstream(connection.upstream);
        if (connection.state == ConnectionState::Idle && (!upstream || !m_view.takesWork(*upstream)))
            closing.push_back(id);
    }
    for (const ConnectionId id : closing)
        closeConnection(id);
    dispatch(now);
}

void Engine::tick(Model::Time now)
{
    const std::vector<SessionId> active(m_active.begin(), m_active.end());
    for (const SessionId id : active) {
        Session* session = findSession(id);
        if (!session)
            continue;
        if (session->request)
            checkRequest(*session, now);
        else
            checkTransaction(*session, now);
    }
    if (now >= m_nextSurplusCheck) {
        m_nextSurplusCheck = now + surplusCheckPeriod;
        closeSurplus(now);
    }
    dispatch(now);
}

void Engine::checkRequest(Session& session, Model::Time now)
{
    Request& request = *session.request;
    if (request.phase == RequestPhase::Waiting) {
        // Without a known primary the others are only asked whether they lead.
        const bool hasCandidates = request.target == Target::Primary
            ? m_router.primary(session.route->service, now) != nullptr
            : !m_router.candidates(session, request, now).empty();
        if (now >= request.deadline)
            return refuse(session, ResultCode::Busy, "no connection in time", now);
        if (!hasCandidates && now - request.arrivedAt >= holdLimit(session))
            return refuse(session, ResultCode::Busy, "no upstream can run it", now);
        return;
    }
    if (request.retryAt && request.phase == RequestPhase::Preparing && now >= *request.retryAt
        && request.target == Target::Transaction) {
        request.retryAt.reset();
        if (Connection* connection = m_pool.find(session.connection))
            sendStatement(session, *connection, {}, now);
        return;
    }
    const ConnectionId id = session.connection;
    if (mayAbandon(session) && isAnswerOverdue(session, now)) {
        m_hooks.disconnect(id);
        return connectionLost(id, now);
    }
    if (now < request.deadline + replySlack)
        return;
    m_hooks.disconnect(id);
    request.attempts = maxAttempts;
    connectionLost(id, now);
}

/// Whether nothing is kept of the running statement if its connection is closed.
bool Engine::mayAbandon(const Session& session)
{
    const Request& request = *session.request;
    if (request.phase != RequestPhase::Running)
        return false;
    if (session.state == TransactionState::Open)
        return request.statement.kind != StatementKind::Commit;
    return !request.isWrite;
}

bool Engine::isAnswerOverdue(const Session& session, Model::Time now) const
{
    const auto connection = m_pool.connections().find(session.connection);
    return connection != m_pool.connections().end()
        && m_router.isAnswerOverdue(connection->second.upstream, session.request->sentAt, now);
}

void Engine::checkTransaction(Session& session, Model::Time now)
{
    if (session.state != TransactionState::Open || session.connection == 0)
        return;
    if (now - session.lastActivity < session.configuration->limits.idleTransaction)
        return;
    decided(DecisionKind::TransactionAborted, session, ResultCode::Aborted, "idle transaction", now);
    session.isAborted = true;
    detach(session, now);
}

void Engine::closeSurplus(Model::Time now)
{
    const auto shareOf = [this](const std::string& service, const std::string& upstream) {
        return share(service, upstream);
    };
    for (const ConnectionId id : m_pool.surplus(shareOf, now))
        closeConnection(id);
    std::vector<ConnectionId> overdue;
    for (const auto& [id, connection] : m_pool.connections()) {
        const Model::Duration age = now - connection.changedAt;
        if ((connection.state == ConnectionState::Opening && age > openTimeout)
            || (connection.state == ConnectionState::Settling && age > settleTimeout))
            overdue.push_back(id);
    }
    for (const ConnectionId id : overdue) {
        m_hooks.disconnect(id);
        connectionLost(id, now);
    }
}

Model::Time Engine::nextTick(Model::Time now) const
{
    Model::Time next = std::max(m_nextSurplusCheck, now);
    for (const SessionId id : m_active) {
        const Session& session = m_sessions.at(id);
        if (!session.request) {
            if (session.connection != 0)
                next = std::min(next, session.lastActivity + session.configuration->limits.idleTransaction);
            continue;
        }
        const Request& request = *session.request;
        if (request.retryAt && request.phase != RequestPhase::Running)
            next = std::min(next, std::max(*request.retryAt, now));
        if (request.phase == RequestPhase::Waiting && now - request.arrivedAt < holdLimit(session))
            next = std::min(next, request.arrivedAt + holdLimit(session));
        if (request.phase == RequestPhase::Running)
            next = std::min(next, std::max(now, request.sentAt) + overdueCheckPeriod);
        next = std::min(next, request.deadline + replySlack);
    }
    return next;
}

void Engine::closeIdleSessions()
{
    std::vector<SessionId> idle;
    for (const auto& [id, session] : m_sessions) {
        if (!m_active.contains(id))
            idle.push_back(id);
    }
    for (const SessionId id : idle) {
        m_sessions.erase(id);
        m_hooks.closeSession(id);
    }
}

void Engine::endIdleTransactions(Model::Time now)
{
    const std::vector<SessionId> active(m_active.begin(), m_active.end());
    for (const SessionId id : active) {
        const Session* session = findSession(id);
        if (!session || session->request)
            continue;
        decided(DecisionKind::TransactionAborted, *session, ResultCode::Aborted, "shutdown", now);
        sessionClosed(id, now);
        m_hooks.closeSession(id);
    }
}

void Engine::decided(DecisionKind kind, const Session& session, ResultCode code, std::string_view reason,
    Model::Time now) const
{
    Decision decision;
    decision.kind = kind;
    decision.database = session.database;
    decision.customer = session.customer;
    decision.code = code;
    decision.reason = reason;
    decision.configuration = session.configuration ? session.configuration->version : 0;
    if (session.request) {
        decision.request = session.request->statement.id;
        decision.age = now - session.request->arrivedAt;
        decision.attempts = session.request->attempts;
        if (!session.request->avoided.empty())
            decision.upstream = session.request->avoided.back();
    }
    m_hooks.decided(decision);
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
    return m_ledger.share(upstream, settings ? settings->maxConnections : 0);
}

Model::Duration Engine::holdLimit(const Session& session) const
{
    const auto expected = m_primaryExpected.find(session.route->service);
    if (expected != m_primaryExpected.end() && expected->second < session.request->deadline)
        return session.route->statementTimeout;
    return session.route->targetLatency / holdDivisor;
}

}
