#include "core/proxy/engine.h"

#include "core/proxy/reply.h"

#include <utility>

namespace Proxy {

/// Sends the session's request to the pool host of its service. Returns false if this host has to execute it.
bool Engine::forwardRequest(Session& session, Model::Time now)
{
    if (!m_hooks.chooseLink || session.forwardedRoute || session.connection != 0)
        return false;
    const bool isContinued = session.link != 0;
    const ForwardLinkId link = isContinued ? session.link : m_hooks.chooseLink(session.route->service, now);
    if (link == 0)
        return false;
    Request& request = *session.request;
    request.forwardSequence = ++m_lastForwardSequence;
    request.isContinued = isContinued;
    const bool isSent = m_hooks.forward(link, forwardedStatement(session, isContinued, now));
    if (!isSent && !isContinued)
        return false;
    request.target = Target::Forwarded;
    request.phase = RequestPhase::Running;
    request.sentAt = now;
    ++request.attempts;
    if (!isSent) {
        // Another host would run the statement without the earlier ones of the transaction.
        session.link = 0;
        sessionConnectionLost(session, {}, now);
        return true;
    }
    session.link = link;
    enterHop(request, HopKind::PoolHost, now);
    return true;
}

ForwardedStatement Engine::forwardedStatement(const Session& session, bool isContinued, Model::Time now) const
{
    const Request& request = *session.request;
    ForwardedStatement forwarded { session.id, request.forwardSequence, request.statement };
    if (request.statement.kind == StatementKind::Execute)
        forwarded.shape = session.context.prepared.at(request.statement.name);
    forwarded.values = session.context.values;
    forwarded.route = *session.route;
    forwarded.route.statementTimeout = request.deadline - now;
    forwarded.customer = session.customer;
    forwarded.state = session.state;
    forwarded.isReadOnlyTransaction = session.isReadOnlyTransaction;
    forwarded.isContinued = isContinued;
    forwarded.lastCommit = session.lastCommit;
    forwarded.isTraced = request.trace.has_value();
    return forwarded;
}

/// Returns the session whose request was forwarded last under this sequence number, or null.
Session* Engine::findForwarded(SessionId id, std::uint64_t sequence)
{
    Session* session = findSession(id);
    const bool isExpected = session && session->request && session->request->target == Target::Forwarded
        && session->request->forwardSequence == sequence;
    return isExpected ? session : nullptr;
}

void Engine::forwardAnswered(SessionId id, std::uint64_t sequence, Reply reply, Model::Time now)
{
    Session* session = findForwarded(id, sequence);
    if (!session)
        return;
    const Request& request = *session->request;
    const bool isCommit = request.statement.kind == StatementKind::Commit;
    if (reply.code != ResultCode::Complete) {
        session->state = reply.state;
        return finish(*session, errorReply(reply.code, reply.text, reply.state), now);
    }
    const bool isSingleWrite = session->state == TransactionState::None && request.isWrite;
    if (isSingleWrite || (isCommit && session->hasWritten))
        session->lastCommit = std::max(session->lastCommit, reply.position);
    if (request.isWrite)
        session->hasWritten = true;
    if (isCommit)
        session->state = TransactionState::None;
    reply.state = session->state;
    finish(*session, reply, now);
}

void Engine::forwardDeclined(SessionId id, std::uint64_t sequence, Model::Time now)
{
    Session* session = findForwarded(id, sequence);
    if (!session)
        return;
    session->link = 0;
    if (session->request->isContinued)
        return sessionConnectionLost(*session, {}, now);
    --session->request->attempts;
    // Not `Busy`: the statement has used no turn in this host's queue.
    session->request->lastCode = ResultCode::Aborted;
    retry(*session, "pool host did not take the statement", now);
}

void Engine::forwardLinkLost(ForwardLinkId link, Model::Time now)
{
    const std::vector<SessionId> active(m_active.begin(), m_active.end());
    for (const SessionId id : active) {
        Session* session = findSession(id);
        if (!session || session->link != link)
            continue;
        session->link = 0;
        sessionConnectionLost(*session, {}, now);
    }
}

/// Gives up a forwarded request whose answer is overdue, or a read whose pool host does not respond.
void Engine::checkForwarded(Session& session, Model::Time now)
{
    Request& request = *session.request;
    const bool isOverdue = now >= request.deadline + forwardedReplySlack;
    const bool isRepeatable = session.state == TransactionState::None && !request.isWrite;
    if (!isOverdue && !(isRepeatable && m_hooks.isLinkSuspect(session.link, now)))
        return;
    if (isOverdue)
        request.attempts = maxAttempts;
    if (const ForwardLinkId link = std::exchange(session.link, 0); link != 0)
        m_hooks.endForwarded(link, session.id);
    sessionConnectionLost(session, {}, now);
}

/// Returns whether this host can take a new operation. If it is shutting down or does not reach the primary,
/// another host of the zone may.
bool Engine::canExecute(const ForwardedStatement& forwarded, Model::Time now) const
{
    if (forwarded.isContinued)
        return true;
    if (m_endsTransactions)
        return false;
    const bool writes = isWrite(forwarded.statement, forwarded.shape ? &*forwarded.shape : nullptr);
    const bool isReadOnly
        = forwarded.state == TransactionState::Open ? forwarded.isReadOnlyTransaction : !writes;
    const bool needsPrimary = forwarded.route.kind == Directory::RouteKind::Primary || !isReadOnly;
    return !needsPrimary || m_router.primary(forwarded.route.service, now) != nullptr;
}

Session& Engine::forwardedSession(SessionId id, const ForwardedStatement& forwarded)
{
    Session& session = m_sessions[id];
    if (session.id != 0)
        return session;
    session.id = id;
    session.database = forwarded.route.database;
    session.customer = forwarded.customer;
    session.state = forwarded.state;
    session.isReadOnlyTransaction = forwarded.isReadOnlyTransaction;
    // A transaction that is unknown here has lost its earlier statements.
    session.isAborted = forwarded.isContinued;
    return session;
}

void Engine::handleForwarded(SessionId id, ForwardedStatement forwarded, Model::Time now)
{
    if (!canExecute(forwarded, now))
        return m_hooks.declineForwarded(id);
    Session& session = forwardedSession(id, forwarded);
    // A host sends the next statement of a session only after the answer to the previous one.
    if (session.request)
        return;
    session.lastActivity = now;
    session.isTraced = forwarded.isTraced;
    session.configuration = m_view.configuration();
    session.lastCommit = std::max(session.lastCommit, forwarded.lastCommit);
    session.context.values = std::move(forwarded.values);
    session.context.prepared.clear();
    if (forwarded.shape)
        session.context.prepared.emplace(forwarded.statement.name, *forwarded.shape);
    session.forwardedRoute = std::make_shared<Directory::Route>(std::move(forwarded.route));
    session.route = session.forwardedRoute.get();
    endTransactionOnShutdown(session, now);
    if (session.state == TransactionState::Failed || session.isAborted) {
        handleInFailedTransaction(session, forwarded.statement, now);
        return removeIfOver(id);
    }
    startRequest(session, std::move(forwarded.statement), now);
}

/// Removes a forwarded session without an open transaction: its host sends all that the next operation
/// depends on.
void Engine::removeIfOver(SessionId id)
{
    const Session* session = findSession(id);
    if (!session || !session->forwardedRoute || session->request || session->state == TransactionState::Open)
        return;
    m_active.erase(id);
    m_sessions.erase(id);
}

}
