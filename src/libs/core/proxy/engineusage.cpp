#include "core/proxy/engine.h"

namespace Proxy {

namespace {

    /// Whether an upstream that replied with this code began to run the statement, so that it counts as
    /// usage. Unlike `ResultInfo::isNotRun`, includes statements that ran without a lasting effect.
    bool hasBegun(ResultCode code)
    {
        switch (code) {
        case ResultCode::Busy:
        case ResultCode::Lagging:
        case ResultCode::ReadOnly:
        case ResultCode::WrongInstance:
        case ResultCode::ConnectionLimit:
        case ResultCode::UnknownStatement:
        case ResultCode::Malformed:
            return false;
        default:
            return true;
        }
    }

}

/// The customer whose usage includes the operation of the connection's session, if this statement may be the
/// first one of it that runs; otherwise empty. Statements on open routes are not attributed to customers.
std::string Engine::chargedCustomer(const Connection& connection) const
{
    const auto session = m_sessions.find(connection.session);
    if (!m_hooks.operationRan || session == m_sessions.end())
        return {};
    const bool isCharged = !session->second.route->isOpen && !session->second.isUsageCounted;
    return isCharged ? connection.customer : std::string();
}

/// Counts the operation of a statement that was answered with this code, if it has begun.
void Engine::countUsage(const PendingReply& pending, SessionId id, ResultCode code)
{
    if (pending.chargedCustomer.empty() || !hasBegun(code))
        return;
    if (Session* session = findSession(id))
        session->isUsageCounted = true;
    m_hooks.operationRan(pending.chargedCustomer, pending.sentAt);
}

}
