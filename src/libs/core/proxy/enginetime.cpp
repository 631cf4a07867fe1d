#include "core/proxy/engine.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// If a connection is not open within this time, its upstream counts as unreachable.
    constexpr Model::Duration openTimeout = std::chrono::milliseconds(700);
    /// A connection that no session uses is closed if outstanding replies do not arrive within this time.
    constexpr Model::Duration outstandingReplyTimeout = std::chrono::seconds(2);
    constexpr Model::Duration surplusCheckPeriod = std::chrono::milliseconds(400);
    /// How often running statements are checked for overdue replies.
    constexpr Model::Duration overdueCheckPeriod = std::chrono::milliseconds(100);
    constexpr Model::Duration admissionRetryPeriod = std::chrono::milliseconds(20);
    /// Network latency of a reply that the upstream sends just at the statement's time limit.
    constexpr Model::Duration replySlack = std::chrono::milliseconds(50);
    /// A request that no upstream can run is refused after 1 / queueTimeDivisor of its target latency. If it
    /// stayed queued for longer, the caller would lose time that it needs for its own retry.
    constexpr int queueTimeDivisor = 5;
    /// How often the time limits of requests that wait for an execution slot are checked.
    constexpr Model::Duration scheduledCheckPeriod = std::chrono::milliseconds(10);

}

void Engine::setPrimaryExpected(const std::string& service, std::optional<Model::Time> at)
{
    if (at)
        m_primaryExpected[service] = *at;
    else
        m_primaryExpected.erase(service);
}

void Engine::tick(Model::Time now)
{
    checkPendingOpens(now);
    m_tickedAt = now;
    m_hasCandidates.clear();
    if (m_pauseEnd && now >= *m_pauseEnd)
        m_pauseEnd.reset();
    retryAdmissions(now);
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
    observePrimaries(now);
    dispatch(now);
}

void Engine::checkRequest(Session& session, Model::Time now)
{
    Request& request = *session.request;
    if (request.target == Target::Forwarded)
        return checkForwarded(session, now);
    if (m_settings.schedulesStatements && (request.phase == RequestPhase::Waiting || request.awaitsSlot))
        return checkScheduled(session, now);
    if (request.phase == RequestPhase::Waiting) {
        // Without a known primary, the other upstreams are only tried to find the new one.
        const bool hasCandidates = request.target == Target::Primary
            ? m_router.primary(session.route->service, now) != nullptr
            : !m_router.candidates(session, request, now).empty();
        if (now >= request.deadline)
            return refuse(session, ResultCode::Busy, "no connection in time", now);
        if (!hasCandidates && now - request.arrivedAt >= maxQueueTime(session))
            return refuse(session, ResultCode::Busy, "no upstream can run it", now);
        return;
    }
    if (request.retryAt && request.phase == RequestPhase::Preparing && now >= *request.retryAt) {
        request.retryAt.reset();
        if (Connection* connection = m_pool.find(session.connection))
            sendStatement(session, *connection, now);
        return;
    }
    const ConnectionId id = session.connection;
    if (mayAbandon(session) && isAnswerOverdue(session, now))
        return abandonConnection(id, now);
    if (now < request.deadline + replySlack)
        return;
    request.attempts = maxAttempts;
    abandonConnection(id, now);
}

/// Returns whether the running statement certainly has no lasting effect if its connection is closed now.
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
    if (session.state != TransactionState::Open || (session.connection == 0 && session.link == 0))
        return;
    if (now - session.lastActivity < session.configuration->limits.idleTransaction)
        return;
    abortTransaction(session, "idle transaction", now);
}

/// Rolls back the open transaction of a session without a request. The reply to the caller's next statement
/// reports it.
void Engine::abortTransaction(Session& session, std::string_view reason, Model::Time now)
{
    decided(DecisionKind::TransactionAborted, session, ResultCode::Aborted, reason, now);
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
    std::vector<ConnectionId> notOpened;
    std::vector<ConnectionId> overdue;
    for (const auto& [id, connection] : m_pool.connections()) {
        const Model::Duration age = now - connection.changedAt;
        if (connection.state == ConnectionState::Opening && age > openTimeout)
            notOpened.push_back(id);
        if (connection.state == ConnectionState::AwaitingReplies && age > outstandingReplyTimeout)
            overdue.push_back(id);
    }
    for (const ConnectionId id : notOpened) {
        m_hooks.disconnect(id);
        connectionLost(id, now);
    }
    for (const ConnectionId id : overdue)
        abandonConnection(id, now);
}

Model::Time Engine::nextTick(Model::Time now) const
{
    Model::Time next = std::max(m_nextSurplusCheck, now);
    if (!m_awaitingAdmission.empty())
        next = std::min(next, now + admissionRetryPeriod);
    if (!m_backlog.empty()) {
        // All time limits are checked at each such tick; looking for the earliest one would cost more.
        next = std::min(next, std::max(now, m_tickedAt + scheduledCheckPeriod));
        return m_pauseEnd ? std::min(next, std::max(now, *m_pauseEnd)) : next;
    }
    for (const SessionId id : m_active) {
        const Session& session = m_sessions.at(id);
        if (!session.request) {
            if (session.connection != 0 || session.link != 0)
                next = std::min(next, session.lastActivity + session.configuration->limits.idleTransaction);
            continue;
        }
        const Request& request = *session.request;
        if (request.retryAt && request.phase != RequestPhase::Running)
            next = std::min(next, std::max(*request.retryAt, now));
        if (request.phase == RequestPhase::Waiting && now - request.arrivedAt < maxQueueTime(session))
            next = std::min(next, request.arrivedAt + maxQueueTime(session));
        if (request.phase == RequestPhase::Running)
            next = std::min(next, std::max(now, request.sentAt) + overdueCheckPeriod);
        const bool isForwarded = request.target == Target::Forwarded;
        next = std::min(next, request.deadline + (isForwarded ? forwardedReplySlack : replySlack));
    }
    return next;
}

Model::Duration Engine::maxQueueTime(const Session& session) const
{
    const auto expected = m_primaryExpected.find(session.route->service);
    if (expected != m_primaryExpected.end() && expected->second < session.request->deadline)
        return session.route->statementTimeout;
    return session.route->targetLatency / queueTimeDivisor;
}

}
