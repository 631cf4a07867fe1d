#pragma once

#include "core/proxy/forwardedstatement.h"
#include "eventloop/tcplistener.h"
#include "forwarding/messages.h"
#include "forwarding/messagestream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace EventLoop {
class Loop;
}

namespace Forwarding {

/// Callbacks of a receiver.
struct ReceiverHooks {
    /// Executes a statement; the reply follows by `Receiver::reply`.
    std::function<void(Proxy::SessionId, Proxy::ForwardedStatement)> received;
    /// The session's host has ended the operation or is gone.
    std::function<void(Proxy::SessionId)> ended;
    /// Whether this host can execute statements.
    std::function<bool()> isConfigured;
};

/// Receives the statements that other hosts forward, and sends the replies. Used on the loop's thread.
class Receiver {
public:
    Receiver(EventLoop::Loop& loop, ReceiverHooks hooks);

    /// Listens on the first free port from `firstPort` to `lastPort`. Returns an error message, or `nullopt`
    /// on success.
    std::optional<std::string> listen(const std::string& ip, int firstPort, int lastPort);
    /// The port that the receiver listens on, after `listen` has succeeded.
    std::uint16_t port() const { return m_listener->port(); }

    /// Whether a session with this number belongs to another host's caller.
    static bool isForwarded(Proxy::SessionId id) { return (id & forwardedBit) != 0; }
    /// Sends the reply to the session's last statement to its host.
    void reply(Proxy::SessionId id, const Proxy::Reply& reply);
    /// Tells the host of a session that this one cannot execute its statement, because it does not reach what
    /// the service needs.
    void decline(Proxy::SessionId id);
    /// Forgets a session that this host has ended.
    void forget(Proxy::SessionId id);
    /// Tells the other hosts that this one is shutting down.
    void drain();
    /// Whether the sockets have accepted all replies.
    bool isEveryReplySent() const;

private:
    /// Distinguishes forwarded sessions from those of this host's callers, which are numbered from 1.
    static constexpr Proxy::SessionId forwardedBit = 1ULL << 63U;

    using PeerId = std::uint64_t;
    struct Peer {
        std::unique_ptr<MessageStream> stream;
        /// The numbers of the sessions on this host, by those on theirs.
        std::unordered_map<Proxy::SessionId, Proxy::SessionId> sessions;
    };
    struct ForwardedSession {
        PeerId peer = 0;
        Proxy::SessionId remote = 0;
        std::uint64_t sequence = 0;
        bool isAwaitingReply = false;
    };

    void accept(std::unique_ptr<EventLoop::TcpStream> stream);
    void receive(PeerId peer, std::string_view bytes);
    void handle(PeerId peer, Proxy::ForwardedStatement statement);
    void end(PeerId peer, Proxy::SessionId remote);
    void close(PeerId peer);

    EventLoop::Loop& m_loop;
    ReceiverHooks m_hooks;
    std::unique_ptr<EventLoop::TcpListener> m_listener;
    std::map<PeerId, Peer> m_peers;
    std::unordered_map<Proxy::SessionId, ForwardedSession> m_sessions;
    PeerId m_lastPeer = 0;
    Proxy::SessionId m_lastSession = 0;
    bool m_isDraining = false;
};

}
