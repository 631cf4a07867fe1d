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

/// The customer whose usage includes a statement of the connection's session. Statements on open routes are
/// not attributed to customers.
std::string Engine::chargedCustomer(const Connection& connection) const
{
    const auto session = m_sessions.find(connection.session);
    if (!m_hooks.statementRan || session == m_sessions.end() || session->second.route->isOpen)
        return {};
    return connection.customer;
}

/// Counts a message that was answered with this code if it is a statement that has begun.
void Engine::countStatement(const PendingReply& pending, ResultCode code) const
{
    if (!pending.chargedCustomer.empty() && hasBegun(code))
        m_hooks.statementRan(pending.chargedCustomer, pending.sentAt);
}

}
