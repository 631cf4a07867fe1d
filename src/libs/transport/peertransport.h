#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Wire {
class Envelope;
}

namespace Transport {

struct TransportSettings {
    /// The address to bind, of the form IP:PORT. Other hosts reach this one at it.
    std::string listenAddress;
    std::string hostName;
    std::uint64_t incarnation = 0;
    /// The fleet's CURVE key pair, in Z85 encoding (ZeroMQ RFC 32). Only peers with this public key are
    /// admitted.
    std::string curvePublicKey;
    std::string curveSecretKey;
};

enum class ReplyStatus : std::uint8_t {
    Answered,
    /// The request did not leave this process.
    NotSent,
    /// Unknown outcome: the request may have been processed, but no reply was received in time.
    NoAnswer,
};

struct TransportCounts {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    /// Received messages that were discarded because they are malformed.
    std::uint64_t malformed = 0;
    /// Connections that were rejected because the peer does not have the fleet's key.
    std::uint64_t rejected = 0;
};

/// Sends the reply to one request. May be called once, on any thread.
using Responder = std::function<void(Wire::Envelope)>;
/// Called on the transport's thread; must not block.
using RequestHandler = std::function<void(const Wire::Envelope&, Responder)>;
/// Called on the transport's thread; must not block. The envelope is null unless the status is
/// `Answered`.
using ReplyHandler = std::function<void(ReplyStatus, const Wire::Envelope*)>;

/// Exchanges messages with other hosts over ZeroMQ with CURVE. Owns one thread, all sockets and the table of
/// pending requests. Any thread may send.
class PeerTransport {
public:
    PeerTransport(TransportSettings settings, RequestHandler onRequest);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Binds the address and starts the thread. Returns an error message on failure.
    std::optional<std::string> start();
    /// Ends the thread. Requests that were sent and have no reply yet complete with `NoAnswer`.
    void stop();

    /// Sends a message that expects no reply.
    void send(const std::string& address, Wire::Envelope message);
    /// Sends a request. The handler is called exactly once, at the latest after `timeout`.
    void request(const std::string& address, Wire::Envelope message, std::chrono::milliseconds timeout,
        ReplyHandler onReply);
    /// Closes the connection to a peer, for example because it does not respond. The next message to the peer
    /// opens a new one.
    void resetConnection(const std::string& address);

    TransportCounts counts() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
