#include "core/proxy/engine.h"

#include "core/proxy/reply.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Proxy {

void Engine::send(Connection& connection, const std::vector<Command>& commands, Model::Time now)
{
    for (const Command& command : commands) {
        connection.pending.push_back({ command.kind, now, {} });
        if (command.kind == CommandKind::Statement)
            connection.pending.back().chargedCustomer = chargedCustomer(connection);
    }
    connection.changedAt = now;
    m_reachability.requestSent(connection.upstream, now);
    m_hooks.send(connection.id, commands);
}

void Engine::connectionOpened(ConnectionId id, Model::LogPosition position, Model::Time now)
{
    Connection* connection = m_pool.find(id);
    if (!connection || connection->state != ConnectionState::Opening)
        return;
    freeSlot(*connection, SlotResult::Answered, now);
    connection->state = ConnectionState::Idle;
    connection->changedAt = now;
    m_reachability.responseReceived(connection->upstream, now);
    m_router.observePosition(connection->upstream, position, now);
    if (connection->first) {
        connection->state = ConnectionState::AwaitingReplies;
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
        connection->state = ConnectionState::AwaitingReplies;
        send(*connection, { command }, now);
        connection->pending.back().answered = std::move(answered);
        return;
    }
    const Directory::Upstream* target = m_view.findUpstream(upstream);
    const Directory::FormerUpstream* former = target ? nullptr : m_view.findFormerUpstream(upstream);
    if (former)
        target = &former->upstream;
    if (!target)
        return answered(std::nullopt);
    // Upstreams accept messages of the proxy itself without a customer.
    Connection& opened = m_pool.add(*target, {}, now);
    opened.first = command;
    opened.firstAnswered = std::move(answered);
    holdSlot(opened, now);
    m_reachability.requestSent(upstream, now);
    m_hooks.connect(opened.id, *target, {});
}

void Engine::probeIfUnresponsive(const std::string& upstream, AnswerHook answered, Model::Time now)
{
    if (m_reachability.takeProbe(upstream, now))
        command(upstream, { CommandKind::Status }, std::move(answered), now);
}

/// Calls the reply callbacks of a lost connection with `nullopt`. A statement without a reply may have run.
void Engine::failCommands(Connection& connection)
{
    if (connection.firstAnswered)
        connection.firstAnswered(std::nullopt);
    for (const PendingReply& pending : connection.pending) {
        if (pending.answered)
            pending.answered(std::nullopt);
        countUsage(pending, connection.session, ResultCode::Failed);
    }
}

void Engine::connectionRefused(ConnectionId id, ResultCode code, Model::Time now)
{
    Connection* connection = m_pool.find(id);
    if (!connection)
        return;
    decidedOnConnection(
        DecisionKind::ConnectionRefused, *connection, code, "connection refused by the upstream", now);
    m_reachability.responseReceived(connection->upstream, now);
    if (code == ResultCode::ConnectionLimit)
        m_pool.refused(connection->upstream, now);
    else if (code != ResultCode::Busy || !m_settings.schedulesStatements)
        m_pool.unreachable(connection->upstream, now);
    freeSlot(*connection, code == ResultCode::Busy ? SlotResult::Busy : SlotResult::Unused, now);
    Connection refused = m_pool.take(id);
    failCommands(refused);
    dispatch(now);
}

void Engine::connectionReply(ConnectionId id, const Reply& reply, Model::Time now)
{
    Connection* connection = m_pool.find(id);
    if (!connection)
        return;
    if (connection->pending.empty())
        return connectionLost(id, now);
    // The upstream may have run the request after another one became the primary.
    if (reply.code == ResultCode::Complete && !isUseAllowed(*connection, now))
        return endUse(id, now);
    const PendingReply pending = std::move(connection->pending.front());
    connection->pending.pop_front();
    m_router.observeRoundTrip(connection->upstream, now - pending.sentAt, now);
    countUsage(pending, connection->session, reply.code);
    m_reachability.responseReceived(connection->upstream, now);
    if (reply.position != Model::LogPosition {})
        m_router.observePosition(connection->upstream, reply.position, now);
    if (reply.code == ResultCode::Busy)
        m_pool.busy(connection->upstream, now);
    const bool freesSlot = pending.kind == CommandKind::Statement && connection->slotHeldSince;
    if (freesSlot)
        freeSlot(*connection, reply.code == ResultCode::Busy ? SlotResult::Busy : SlotResult::Answered, now);
    switch (pending.kind) {
    case CommandKind::Begin:
    case CommandKind::BeginReadOnly:
        beginAnswered(*connection, pending.kind, reply, pending.sentAt, now);
        break;
    case CommandKind::Statement:
        statementAnswered(*connection, reply, pending.sentAt, now);
        break;
    case CommandKind::Rollback:
        // A rollback that failed may have left the transaction open.
        connection->isInTransaction = reply.state != TransactionState::None;
        break;
    case CommandKind::Reset:
    case CommandKind::Set:
    case CommandKind::Prepare:
        preparationAnswered(*connection, reply, now);
        break;
    case CommandKind::Status:
    case CommandKind::StepDown:
    case CommandKind::Pause:
    case CommandKind::Resume:
        if (pending.answered)
            pending.answered(reply);
        break;
    }
    releaseIfUnused(id, now);
    if (freesSlot)
        dispatch(now);
}

void Engine::releaseIfUnused(ConnectionId id, Model::Time now)
{
    Connection* connection = m_pool.find(id);
    if (!connection || connection->session != 0 || !connection->pending.empty())
        return;
    if (connection->state == ConnectionState::InUse || connection->state == ConnectionState::AwaitingReplies)
        release(*connection, now);
}

/// Handles the answer to a command that has to succeed before the session's statement may be sent.
void Engine::preparationAnswered(Connection& connection, const Reply& reply, Model::Time now)
{
    if (reply.code != ResultCode::Complete) {
        // The connection no longer matches its record.
        decidedOnConnection(DecisionKind::ConnectionLost, connection, reply.code,
            "session values or a prepared statement were not set", now);
        return endUse(connection.id, now);
    }
    Session* session = findSession(connection.session);
    if (session && connection.pending.empty())
        startStatement(*session, connection, {}, now);
}

void Engine::beginAnswered(
    Connection& connection, CommandKind kind, const Reply& reply, Model::Time sentAt, Model::Time now)
{
    if (reply.code == ResultCode::Complete) {
        connection.isInTransaction = true;
        // Without a session, the role may have ended since the message was sent.
        if (kind == CommandKind::Begin
            && m_router.isPrimaryAllowed(connection.service, connection.upstream, now))
            m_router.observePrimaryRole(connection.service, connection.upstream, reply.position, sentAt);
        if (Session* session = findSession(connection.session))
            sendStatement(*session, connection, now);
        return;
    }
    connection.isInTransaction = reply.state != TransactionState::None;
    if (reply.code == ResultCode::ReadOnly)
        m_router.observeNotPrimary(connection.upstream, now);
    if (reply.code == ResultCode::Lagging)
        m_router.observeLag(connection.upstream, now);
    Session* session = findSession(connection.session);
    if (!session)
        return;
    session->request->lastCode = reply.code;
    freeSlot(connection, reply.code == ResultCode::Busy ? SlotResult::Busy : SlotResult::Unused, now);
    if (isAttemptFree(reply.code))
        --session->request->attempts;
    else if (reply.code != ResultCode::Busy)
        exclude(*session->request, connection.upstream);
    separate(*session, connection, now);
    retry(*session, "upstream did not begin the transaction", now);
}

void Engine::statementAnswered(
    Connection& connection, const Reply& reply, Model::Time sentAt, Model::Time now)
{
    // An upstream gives a receipt for each statement that it has completed, but none for other commands. If
    // an answer was lost, the next one, for example to the rollback behind a read, would be taken for it.
    if (reply.code == ResultCode::Complete && reply.text.empty())
        return abandonConnection(connection.id, now);
    m_router.observeAnswer(connection.upstream, sentAt, now);
    Session* session = findSession(connection.session);
    // A write may fail because of its data, and only the primary runs writes.
    if (reply.code != ResultCode::Failed || !session || !session->request->isWrite)
        m_router.observeResult(connection.upstream, reply.code, sentAt, now);
    if (!session) {
        connection.isInTransaction = reply.state != TransactionState::None;
        return;
    }
    if (reply.code == ResultCode::Complete)
        return completed(*session, connection, reply, sentAt, now);
    if (session->state == TransactionState::None)
        return failedOutsideTransaction(*session, connection, reply, now);
    failedInTransaction(*session, connection, reply, now);
}

void Engine::completed(
    Session& session, Connection& connection, Reply reply, Model::Time sentAt, Model::Time now)
{
    const Request& request = *session.request;
    const bool isCommit = request.statement.kind == StatementKind::Commit;
    const bool isSingleWrite = session.state == TransactionState::None && request.isWrite;
    if (isSingleWrite || (isCommit && session.hasWritten)) {
        // A completed write confirms that the upstream was the primary when it ran it.
        m_router.observePrimaryRole(connection.service, connection.upstream, reply.position, sentAt);
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
        separate(session, connection, now);
        // Released before the reply, so that a pipelined statement of the session finds the connection idle.
        if (connection.pending.empty())
            release(connection, now);
    }
    finish(session, reply, now);
}

/// Handles a statement outside a transaction that the upstream did not complete.
void Engine::failedOutsideTransaction(
    Session& session, Connection& connection, const Reply& reply, Model::Time now)
{
    Request& request = *session.request;
    const std::string upstream = connection.upstream;
    request.lastCode = reply.code;
    separate(session, connection, now);
    if (reply.code == ResultCode::ReadOnly)
        m_router.observeNotPrimary(upstream, now);
    if (reply.code == ResultCode::Lagging)
        m_router.observeLag(upstream, now);
    const bool mayRepeat = resultInfo(reply.code).isNotRun || !request.isWrite;
    if (!mayRepeat || reply.code == ResultCode::Malformed) {
        finish(session, errorReply(reply.code, reply.text, TransactionState::None), now);
        return;
    }
    if (reply.code == ResultCode::UnknownStatement)
        closeConnection(connection.id);
    if (isAttemptFree(reply.code))
        --request.attempts;
    else if (reply.code != ResultCode::Busy && reply.code != ResultCode::UnknownStatement)
        exclude(request, upstream);
    retry(session, "upstream did not run the statement", now);
}

void Engine::failedInTransaction(
    Session& session, Connection& connection, const Reply& reply, Model::Time now)
{
    Request& request = *session.request;
    const bool isCommit = request.statement.kind == StatementKind::Commit;
    if (m_settings.schedulesStatements && reply.code == ResultCode::Busy
        && reply.state == TransactionState::Open)
        return awaitSlotAgain(session, connection);
    if (reply.code == ResultCode::Busy && reply.state == TransactionState::Open
        && now + busyPause < request.deadline) {
        request.phase = RequestPhase::Preparing;
        request.retryAt = now + busyPause;
        return;
    }
    if (reply.code == ResultCode::ReadOnly)
        m_router.observeNotPrimary(connection.upstream, now);
    session.state = isCommit ? TransactionState::None : TransactionState::Failed;
    connection.isInTransaction = reply.state != TransactionState::None;
    separate(session, connection, now);
    decided(DecisionKind::TransactionAborted, session, reply.code, "statement failed", now);
    finish(session, errorReply(reply.code, reply.text, session.state), now);
}

void Engine::connectionLost(ConnectionId id, Model::Time now)
{
    const Connection* connection = m_pool.find(id);
    if (connection && connection->state != ConnectionState::Idle)
        m_reachability.failed(connection->upstream, now);
    removeLost(id, now);
}

/// Closes a connection whose answer is overdue. That is no sign of a failed upstream: it may answer others,
/// or let a write wait for a replica.
void Engine::abandonConnection(ConnectionId id, Model::Time now)
{
    m_hooks.disconnect(id);
    removeLost(id, now);
}

void Engine::removeLost(ConnectionId id, Model::Time now)
{
    if (!m_pool.find(id))
        return;
    Connection lost = m_pool.take(id);
    loseSlot(lost, now);
    if (lost.state != ConnectionState::Idle) {
        decidedOnConnection(
            DecisionKind::ConnectionLost, lost, ResultCode::Failed, "broken or unresponsive", now);
        m_router.observeFailure(lost.upstream, now);
    }
    failCommands(lost);
    if (lost.state == ConnectionState::Opening)
        m_pool.unreachable(lost.upstream, now);
    if (Session* session = findSession(lost.session)) {
        session->connection = 0;
        sessionConnectionLost(*session, lost.upstream, now);
    }
    dispatch(now);
}

void Engine::decidedOnConnection(DecisionKind kind, const Connection& connection, ResultCode code,
    std::string_view reason, Model::Time now) const
{
    Decision decision;
    decision.kind = kind;
    decision.customer = connection.customer;
    decision.upstream = connection.upstream;
    decision.code = code;
    decision.reason = reason;
    decision.age = now - connection.changedAt;
    m_hooks.decided(decision);
}

bool Engine::isUseAllowed(const Connection& connection, Model::Time now) const
{
    return connection.session == 0 || !connection.reliesOnPrimary
        || m_router.isPrimaryAllowed(connection.service, connection.upstream, now);
}

/// Closes a connection that must not be used any more. Says nothing about the upstream's reachability.
void Engine::endUse(ConnectionId id, Model::Time now)
{
    m_hooks.disconnect(id);
    Connection ended = m_pool.take(id);
    loseSlot(ended, now);
    failCommands(ended);
    if (Session* session = findSession(ended.session)) {
        session->connection = 0;
        sessionConnectionLost(*session, ended.upstream, now);
    }
    dispatch(now);
}

void Engine::endDisallowedUses(Model::Time now)
{
    std::vector<ConnectionId> disallowed;
    for (const auto& [id, connection] : m_pool.connections()) {
        if (!isUseAllowed(connection, now))
            disallowed.push_back(id);
    }
    for (const ConnectionId id : disallowed) {
        const Connection* connection = m_pool.find(id);
        if (connection && !isUseAllowed(*connection, now))
            endUse(id, now);
    }
}

/// Handles the loss of the connection that the session used.
void Engine::sessionConnectionLost(Session& session, const std::string& upstream, Model::Time now)
{
    if (!session.request) {
        session.isAborted = session.state == TransactionState::Open;
        return;
    }
    Request& request = *session.request;
    removeFromQueues(session);
    request.awaitsSlot = false;
    request.lastCode = ResultCode::Failed;
    const bool isStarted = request.target == Target::Transaction || session.hasWritten;
    const bool isTransaction = session.state == TransactionState::Open;
    if (request.phase != RequestPhase::Running && !isStarted) {
        exclude(request, upstream);
        return retry(session, "connection lost before the statement was sent", now);
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
    exclude(request, upstream);
    retry(session, "connection lost", now);
}

/// Returns a connection that no session uses to the pool, after rolling back its transaction if there is one.
void Engine::release(Connection& connection, Model::Time now)
{
    freeSlot(connection, SlotResult::Unused, now);
    if (connection.isInTransaction) {
        connection.state = ConnectionState::AwaitingReplies;
        const std::array commands { Command { CommandKind::Rollback } };
        connection.pending.push_back({ CommandKind::Rollback, now });
        m_hooks.send(connection.id, commands);
        return;
    }
    connection.state = ConnectionState::Idle;
    connection.changedAt = now;
    const Directory::Upstream* upstream = m_view.findUpstream(connection.upstream);
    if (!upstream || !m_view.acceptsWork(*upstream))
        closeConnection(connection.id);
    dispatch(now);
}

/// Excludes an upstream from further attempts of the request. Not the primary: no other upstream could run a
/// request for it, and the number of attempts is limited.
void Engine::exclude(Request& request, const std::string& upstream)
{
    if (request.target == Target::Fresh)
        request.excluded.push_back(upstream);
}

/// Ends the use of the connection by the session. Replies that are outstanding, such as to a rollback, have
/// to arrive soon.
void Engine::separate(Session& session, Connection& connection, Model::Time now)
{
    connection.session = 0;
    session.connection = 0;
    if (connection.pending.empty())
        return;
    connection.state = ConnectionState::AwaitingReplies;
    connection.changedAt = now;
}

/// Separates the session from its connection, which returns to the pool once all its replies have arrived.
void Engine::detach(Session& session, Model::Time now)
{
    if (const ForwardLinkId link = std::exchange(session.link, 0); link != 0)
        m_hooks.endForwarded(link, session.id);
    Connection* connection = m_pool.find(session.connection);
    session.connection = 0;
    if (!connection)
        return;
    connection->session = 0;
    connection->changedAt = now;
    if (connection->pending.empty())
        release(*connection, now);
    else
        connection->state = ConnectionState::AwaitingReplies;
}

void Engine::closeConnection(ConnectionId id)
{
    m_pool.remove(id);
    m_hooks.disconnect(id);
}

void Engine::directoryChanged(Model::Time now)
{
    updateSlots();
    checkPendingOpens(now);
    m_router.directoryChanged(now);
    std::vector<ConnectionId> closing;
    for (const auto& [id, connection] : m_pool.connections()) {
        const Directory::Upstream* upstream = m_view.findUpstream(connection.upstream);
        if (connection.state == ConnectionState::Idle && (!upstream || !m_view.acceptsWork(*upstream)))
            closing.push_back(id);
    }
    for (const ConnectionId id : closing)
        closeConnection(id);
    dispatch(now);
}

}
