#include "core/proxy/engine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Proxy {

void Engine::limitDeadlines(Model::Time latest)
{
    m_latestDeadline = latest;
    for (auto& [id, session] : m_sessions) {
        if (session.request && !session.forwardedRoute)
            session.request->deadline = std::min(session.request->deadline, latest);
    }
}

void Engine::closeIdleSessions()
{
    m_closesIdleSessions = true;
    for (const auto& [id, pending] : std::exchange(m_pendingOpens, {}))
        rejectOpen(id, pending.database, ResultCode::Busy, "shutdown");
    std::vector<SessionId> idle;
    for (const auto& [id, session] : m_sessions) {
        if (isIdle(id))
            idle.push_back(id);
    }
    for (const SessionId id : idle) {
        m_sessions.erase(id);
        m_hooks.closeSession(id);
    }
}

void Engine::endTransactions(Model::Time now)
{
    m_endsTransactions = true;
    const std::vector<SessionId> active(m_active.begin(), m_active.end());
    for (const SessionId id : active) {
        const Session* session = findSession(id);
        if (!session || m_awaitingAdmission.contains(id))
            continue;
        if (session->request) {
            declineIfNotStarted(*session, now);
            continue;
        }
        // A failed transaction holds no connection; its session is closed after the caller's ROLLBACK.
        if (session->state != TransactionState::Open)
            continue;
        decided(DecisionKind::TransactionAborted, *session, ResultCode::Aborted, "shutdown", now);
        sessionClosed(id, now);
        m_hooks.closeSession(id);
    }
}

/// Rolls back the open transaction of a session that sends its next statement too late in a shutdown.
void Engine::endTransactionOnShutdown(Session& session, Model::Time now)
{
    if (m_endsTransactions && session.state == TransactionState::Open && !session.isAborted)
        abortTransaction(session, "shutdown", now);
}

/// Returns an operation that no upstream has begun to the host that forwarded it, which tries it elsewhere.
void Engine::declineIfNotStarted(const Session& session, Model::Time now)
{
    const bool isStarted
        = session.request->phase != RequestPhase::Waiting || session.state == TransactionState::Open;
    if (!session.forwardedRoute || isStarted)
        return;
    const SessionId id = session.id;
    m_hooks.declineForwarded(id);
    sessionClosed(id, now);
}

bool Engine::hasUnansweredStatements() const
{
    return !m_awaitingAdmission.empty() || std::ranges::any_of(m_active, [this](SessionId id) {
        return m_sessions.at(id).request.has_value();
    });
}

}
