#include "core/proxy/engine.h"

#include "core/proxy/reply.h"

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

    /// Callers time out two seconds after they have requested a session.
    constexpr Model::Duration maxOpenWait = std::chrono::milliseconds(1500);
    /// An operation waits for admission for at most 1 / admissionWaitDivisor of its target latency. Admitting
    /// it later would use tokens that operations with more time left need.
    constexpr int admissionWaitDivisor = 2;

}

/// Queues the session if there is no configuration yet. After the start of the process one arrives within
/// some hundred milliseconds, and when a whole fleet restarts, no other host could accept the session either.
void Engine::openSession(SessionId id, std::string database, std::string key, Model::Time now)
{
    if (m_view.configuration())
        return acceptSession(id, std::move(database), std::move(key), now);
    m_pendingOpens.emplace(id, PendingOpen { std::move(database), std::move(key), now, {} });
}

void Engine::acceptSession(SessionId id, std::string database, std::string key, Model::Time now)
{
    const auto& configuration = m_view.configuration();
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

void Engine::handleBeforeOpen(SessionId id, Statement statement, Model::Time now)
{
    const auto pending = m_pendingOpens.find(id);
    if (pending == m_pendingOpens.end())
        return;
    if (pending->second.pipelined.size() >= maxPipelinedStatements) {
        sessionClosed(id, now);
        m_hooks.closeSession(id);
        return;
    }
    pending->second.pipelined.push_back(std::move(statement));
}

/// Opens the sessions that were queued for the first configuration, or rejects those queued for too long.
void Engine::checkPendingOpens(Model::Time now)
{
    const bool isConfigured = m_view.configuration() != nullptr;
    for (auto pending = m_pendingOpens.begin(); pending != m_pendingOpens.end();) {
        if (!isConfigured && now - pending->second.since < maxOpenWait) {
            ++pending;
            continue;
        }
        const SessionId id = pending->first;
        PendingOpen open = std::move(pending->second);
        pending = m_pendingOpens.erase(pending);
        if (!isConfigured) {
            rejectOpen(id, open.database, ResultCode::Busy, "no configuration yet");
            continue;
        }
        acceptSession(id, std::move(open.database), std::move(open.key), now);
        for (Statement& statement : open.pipelined)
            handle(id, std::move(statement), now);
    }
}

bool Engine::mayAdmit(const Directory::Customer& customer, bool hasWaited, Model::Time now)
{
    if (hasWaited)
        return m_hooks.admitAgain(customer, now);
    if (!m_admissionQueues.contains(customer.name))
        return m_hooks.admit(customer, now);
    // Operations that arrived before this one wait.
    m_hooks.demanded(customer, now);
    return false;
}

/// Queues an operation that the customer's limit is expected to permit soon. If it were refused, the caller
/// would use up its retries within milliseconds, before this host's share is refilled or the reports of other
/// hosts arrive. Returns false if the operation has to be refused.
bool Engine::awaitAdmission(Session& session, const Directory::Customer& customer, const Statement& statement,
    Model::Time since, Model::Time now)
{
    if (!m_settings.schedulesStatements || !m_hooks.admissionWait)
        return false;
    const auto queue = m_admissionQueues.find(customer.name);
    const auto wait
        = m_hooks.admissionWait(customer, queue == m_admissionQueues.end() ? 0 : queue->second, now);
    const Model::Duration limit = session.route->targetLatency / admissionWaitDivisor;
    if (!wait || now + *wait - since >= limit)
        return false;
    session.admissionAwaitedSince = since;
    session.pipelined.push_front(statement);
    session.pipelinedBytes += statementBytes(statement);
    m_awaitingAdmission.emplace(session.id, customer.name);
    ++m_admissionQueues[customer.name];
    m_active.insert(session.id);
    return true;
}

void Engine::leaveAdmissionQueue(SessionId id)
{
    const auto waiting = m_awaitingAdmission.find(id);
    if (waiting == m_awaitingAdmission.end())
        return;
    const auto queue = m_admissionQueues.find(waiting->second);
    if (--queue->second == 0)
        m_admissionQueues.erase(queue);
    m_awaitingAdmission.erase(waiting);
    m_active.erase(id);
}

/// Tries the operations that wait for their admission again, the oldest ones first.
void Engine::retryAdmissions(Model::Time now)
{
    std::vector<std::pair<Model::Time, SessionId>> waiting;
    for (const auto& [id, customer] : m_awaitingAdmission)
        waiting.emplace_back(*m_sessions.at(id).admissionAwaitedSince, id);
    std::ranges::sort(waiting);
    for (const auto& [since, id] : waiting) {
        if (!m_awaitingAdmission.contains(id))
            continue;
        leaveAdmissionQueue(id);
        handlePipelined(id, now);
    }
}

/// Returns false if the statement was refused, because the session would occupy too much memory.
bool Engine::keepValue(Session& session, const Statement& statement)
{
    if (keepInContext(session.context, statement, m_settings.maxContextBytes))
        return true;
    if (m_hooks.valuesRefused)
        m_hooks.valuesRefused(session.id, session.context.bytes);
    m_hooks.reply(session.id,
        errorReply(ResultCode::Malformed, "too many session values and prepared statements", session.state));
    return false;
}

SessionBytes Engine::sessionBytes(SessionId id) const
{
    const auto found = m_sessions.find(id);
    if (found != m_sessions.end()) {
        const Session& session = found->second;
        const std::size_t running = session.request ? statementBytes(session.request->statement) : 0;
        return { session.pipelinedBytes + running,
            session.context.bytes + session.key.size() + session.database.size() };
    }
    SessionBytes result;
    const auto pending = m_pendingOpens.find(id);
    if (pending == m_pendingOpens.end())
        return result;
    result.context = pending->second.key.size() + pending->second.database.size();
    for (const Statement& statement : pending->second.pipelined)
        result.statements += statementBytes(statement);
    return result;
}

void Engine::sessionClosed(SessionId id, Model::Time now)
{
    m_pendingOpens.erase(id);
    Session* session = findSession(id);
    if (!session)
        return;
    // The session must not be found in a queue while its connection is released.
    std::erase(m_waiting, id);
    removeFromQueues(*session);
    leaveAdmissionQueue(id);
    detach(*session, now);
    m_active.erase(id);
    m_sessions.erase(id);
    dispatch(now);
}

}
