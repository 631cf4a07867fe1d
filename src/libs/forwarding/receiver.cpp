#include "forwarding/receiver.h"

#include "eventloop/loop.h"
#include "logging/log.h"

#include <algorithm>
#include <utility>

namespace Forwarding {

namespace {

    /// A connection with more unsent data is closed: the other host does not read.
    constexpr std::size_t maxUnsentBytes = 32UL * 1024 * 1024;

}

Receiver::Receiver(EventLoop::Loop& loop, ReceiverHooks hooks)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
{
}

std::optional<std::string> Receiver::listen(const std::string& ip, int firstPort, int lastPort)
{
    std::optional<std::string> error = "no port";
    for (int port = firstPort; port <= lastPort && error; ++port) {
        m_listener = std::make_unique<EventLoop::TcpListener>(
            m_loop, [this](std::unique_ptr<EventLoop::TcpStream> stream) { accept(std::move(stream)); });
        error = m_listener->listen(ip, static_cast<std::uint16_t>(port));
    }
    return error;
}

void Receiver::accept(std::unique_ptr<EventLoop::TcpStream> stream)
{
    const PeerId id = ++m_lastPeer;
    MessageStreamHooks hooks;
    hooks.received = [this, id](std::string_view bytes) { receive(id, bytes); };
    hooks.closed = [this, id] { close(id); };
    Peer& peer = m_peers[id];
    peer.stream = std::make_unique<MessageStream>(std::move(stream), std::move(hooks));
    if (m_isDraining)
        peer.stream->send(encode(Drain {}));
}

void Receiver::receive(PeerId id, std::string_view bytes)
{
    const auto peer = m_peers.find(id);
    if (peer == m_peers.end())
        return;
    auto message = decode(bytes);
    if (!message) {
        Logging::write(Logging::EventId::PeerMessageMalformed);
        return close(id);
    }
    if (auto* statement = std::get_if<Proxy::ForwardedStatement>(&*message))
        handle(id, std::move(*statement));
    else if (const auto* ended = std::get_if<End>(&*message))
        end(id, ended->session);
    else if (std::holds_alternative<Ping>(*message))
        peer->second.stream->send(encode(Pong {}));
}

void Receiver::handle(PeerId id, Proxy::ForwardedStatement statement)
{
    Peer& peer = m_peers.at(id);
    if (!m_hooks.isConfigured()) {
        peer.stream->send(encode(Decline { statement.session, statement.sequence }));
        return;
    }
    // The host has given up the previous operation of the session.
    if (!statement.isContinued)
        end(id, statement.session);
    const auto [local, isNew] = peer.sessions.try_emplace(statement.session, 0);
    if (isNew)
        local->second = ++m_lastSession | forwardedBit;
    const Proxy::SessionId session = local->second;
    ForwardedSession& known = m_sessions[session];
    if (known.isAwaitingReply) {
        // A host sends the next statement of a session only after the answer to the previous one.
        Logging::write(Logging::EventId::PeerMessageMalformed);
        return close(id);
    }
    known = { id, statement.session, statement.sequence, true };
    m_hooks.received(session, std::move(statement));
}

void Receiver::end(PeerId id, Proxy::SessionId remote)
{
    Peer& peer = m_peers.at(id);
    const auto local = peer.sessions.find(remote);
    if (local == peer.sessions.end())
        return;
    const Proxy::SessionId session = local->second;
    peer.sessions.erase(local);
    m_sessions.erase(session);
    m_hooks.ended(session);
}

void Receiver::reply(Proxy::SessionId id, const Proxy::Reply& reply)
{
    const auto session = m_sessions.find(id);
    if (session == m_sessions.end())
        return;
    session->second.isAwaitingReply = false;
    const ForwardedSession target = session->second;
    Peer& peer = m_peers.at(target.peer);
    if (reply.state != Proxy::TransactionState::Open)
        forget(id);
    std::string message = encode(StatementReply { target.remote, target.sequence, reply });
    if (message.size() > maxMessageBytes) {
        // The session's host gives the statement up at its time limit, as after a lost answer.
        Logging::write(Logging::EventId::PeerMessageMalformed,
            { { "reason", "the answer to a forwarded statement is too long" } });
        return;
    }
    peer.stream->send(message);
    if (peer.stream->unsentBytes() > maxUnsentBytes)
        m_loop.post([this, lost = target.peer] { close(lost); });
}

void Receiver::decline(Proxy::SessionId id)
{
    const auto session = m_sessions.find(id);
    if (session == m_sessions.end())
        return;
    const ForwardedSession target = session->second;
    forget(id);
    m_peers.at(target.peer).stream->send(encode(Decline { target.remote, target.sequence, true }));
}

void Receiver::forget(Proxy::SessionId id)
{
    const auto session = m_sessions.find(id);
    if (session == m_sessions.end())
        return;
    m_peers.at(session->second.peer).sessions.erase(session->second.remote);
    m_sessions.erase(session);
}

void Receiver::close(PeerId id)
{
    const auto found = m_peers.find(id);
    if (found == m_peers.end())
        return;
    Peer peer = std::move(found->second);
    m_peers.erase(found);
    for (const auto& [remote, session] : peer.sessions)
        m_sessions.erase(session);
    for (const auto& [remote, session] : peer.sessions)
        m_hooks.ended(session);
    // Destroyed after the callback of the stream that may have called this function has returned.
    m_loop.post([stream = std::shared_ptr<MessageStream>(std::move(peer.stream))] {});
}

void Receiver::drain()
{
    if (std::exchange(m_isDraining, true))
        return;
    for (const auto& [id, peer] : m_peers)
        peer.stream->send(encode(Drain {}));
}

bool Receiver::isEveryReplySent() const
{
    return std::ranges::all_of(
        m_peers, [](const auto& peer) { return peer.second.stream->unsentBytes() == 0; });
}

}
