#include "sessionserver/server.h"

#include <algorithm>
#include <utility>

namespace SessionServer {

namespace {

    /// While a caller leaves more than this of its answers unread, nothing more is read from it.
    constexpr std::size_t maxUnreadBytes = 1024UL * 1024;
    /// Statements that a session may send ahead while the memory is scarce.
    constexpr std::size_t scarcePipelinedBytes = 64UL * 1024;
    constexpr Model::Duration messageCheckPeriod = std::chrono::milliseconds(250);

}

/// Adjusts what the caller is charged with, and whether its data is read, to what it holds now.
void Server::settleCaller(Proxy::SessionId id)
{
    const auto found = m_callers.find(id);
    if (found == m_callers.end())
        return;
    Caller& caller = found->second;
    const Proxy::SessionBytes session = m_engine.sessionBytes(id);
    const std::size_t unread = caller.stream->heldBytes();
    caller.charge.set(caller.splitter.heldBytes() + session.statements + session.context + unread);
    const std::size_t ahead = m_budget.isScarce() ? scarcePipelinedBytes : m_settings.limits.pipelinedBytes;
    if (!caller.isPaused && (session.statements > ahead || unread > maxUnreadBytes)) {
        caller.isPaused = true;
        caller.stream->pauseReading();
        m_limitLog.reached(ClientLimit::PausedReading, id, session.statements + unread, EventLoop::now());
    } else if (caller.isPaused && session.statements <= ahead / 2 && unread <= maxUnreadBytes / 2) {
        caller.isPaused = false;
        caller.messageSince = EventLoop::now();
        caller.stream->resumeReading();
    }
}

void Server::settleUpstream(Proxy::ConnectionId id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    UpstreamConnection& upstream = found->second;
    const auto connection = m_engine.pool().connections().find(id);
    const std::size_t context
        = connection == m_engine.pool().connections().end() ? 0 : connection->second.contextBytes;
    upstream.charge.set(
        upstream.splitter.heldBytes() + upstream.replyBytes + upstream.stream->heldBytes() + context);
}

/// Records when the message began whose rest has not arrived.
void Server::noteMessageBegin(Caller& caller, MessageProgress progress)
{
    if (caller.isOpen && caller.splitter.isEmpty())
        caller.messageSince.reset();
    else if (progress == MessageProgress::Completed || !caller.messageSince)
        caller.messageSince = EventLoop::now();
}

/// Closes the sessions and connections that hold most until the rest is within the budget. Must not be called
/// by the engine's hooks.
void Server::enforceBudget()
{
    const auto byCharge
        = [](const auto& a, const auto& b) { return a.second.charge.bytes() < b.second.charge.bytes(); };
    while (m_budget.isExceeded()) {
        const auto caller = std::ranges::max_element(m_callers, byCharge);
        const auto upstream = std::ranges::max_element(m_upstreams, byCharge);
        const std::size_t callerBytes = caller == m_callers.end() ? 0 : caller->second.charge.bytes();
        const std::size_t upstreamBytes = upstream == m_upstreams.end() ? 0 : upstream->second.charge.bytes();
        if (callerBytes >= upstreamBytes && callerBytes > 0)
            disconnectCaller(caller->first, ClientLimit::Memory, callerBytes);
        else if (upstreamBytes > 0)
            closeUpstream(upstream->first, ClientLimit::Memory);
        else
            return;
    }
}

void Server::disconnectCaller(Proxy::SessionId id, ClientLimit limit, std::size_t bytes)
{
    m_limitLog.reached(limit, id, bytes, EventLoop::now());
    callerClosed(id);
}

/// Closes a connection because of what it holds, and the session that uses it.
void Server::closeUpstream(Proxy::ConnectionId id, ClientLimit limit)
{
    const std::size_t bytes = m_upstreams.at(id).charge.bytes();
    const auto& connections = m_engine.pool().connections();
    const auto used = connections.find(id);
    const Proxy::SessionId session = used == connections.end() ? 0 : used->second.session;
    if (session != 0)
        disconnectCaller(session, limit, bytes);
    else
        m_limitLog.reached(limit, 0, bytes, EventLoop::now());
    if (!connections.contains(id))
        m_upstreams.erase(id);
    else if (connections.at(id).session == 0)
        m_engine.closeUnused(id, EventLoop::now());
    else // Another session uses the connection by now.
        settleUpstream(id);
}

/// Whether the session still exists that the answer on the connection is for.
bool Server::isAnswerExpected(Proxy::ConnectionId id) const
{
    const auto connection = m_engine.pool().connections().find(id);
    return connection != m_engine.pool().connections().end() && connection->second.session != 0;
}

/// Disconnects the callers that have not completed a message in time.
void Server::checkMessageTimes(Model::Time now)
{
    if (now < m_nextMessageCheck)
        return;
    m_nextMessageCheck = now + messageCheckPeriod;
    std::vector<Proxy::SessionId> late;
    for (const auto& [id, caller] : m_callers) {
        const bool isWaiting = caller.messageSince && !caller.isPaused;
        if (isWaiting && now - *caller.messageSince > m_settings.limits.messageTimeout)
            late.push_back(id);
    }
    for (const Proxy::SessionId id : late) {
        const auto caller = m_callers.find(id);
        if (caller != m_callers.end())
            disconnectCaller(id, ClientLimit::MessageTimeout, caller->second.charge.bytes());
    }
}

/// Sends the buffer. A large one is given away, so that it is neither copied nor kept.
void Server::sendBuffer(EventLoop::TcpStream& stream)
{
    constexpr std::size_t maxKeptBytes = 64UL * 1024;
    if (m_buffer.capacity() > maxKeptBytes)
        stream.writeOwned(std::exchange(m_buffer, {}));
    else
        stream.write(m_buffer);
}

}
