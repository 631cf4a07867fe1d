#pragma once

#include "eventloop/tcpstream.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Forwarding {

/// Callbacks of a message stream. `closed` is the last one.
struct MessageStreamHooks {
    /// Only for streams that this host opens.
    std::function<void()> connected;
    /// The bytes are valid only during the call. The stream may be destroyed in it.
    std::function<void(std::string_view message)> received;
    /// The connection failed, or what was received is no message.
    std::function<void()> closed;
};

/// Longer messages are refused by the receiving host, which closes the connection. An answer may consist of
/// several rows of up to 1 MiB.
constexpr std::size_t maxMessageBytes = 16UL * 1024 * 1024;

/// Sends and receives messages of bytes on a TCP connection, each with its length before it. Used on the
/// loop's thread.
class MessageStream {
public:
    /// Opens a connection to `address`, of the form IP:PORT.
    MessageStream(EventLoop::Loop& loop, const std::string& address, MessageStreamHooks hooks);
    /// Uses an accepted connection.
    MessageStream(std::unique_ptr<EventLoop::TcpStream> stream, MessageStreamHooks hooks);
    ~MessageStream();
    MessageStream(const MessageStream&) = delete;
    MessageStream& operator=(const MessageStream&) = delete;

    void send(std::string_view message);
    /// Buffered bytes that the socket has not accepted yet.
    std::size_t unsentBytes() const { return m_stream->unsentBytes(); }

private:
    EventLoop::StreamHooks streamHooks();
    void receive(std::string_view data);

    /// Shared, since a running callback may destroy the stream.
    std::shared_ptr<const MessageStreamHooks> m_hooks;
    std::string m_buffer;
    /// Expires when the stream is destroyed, which a callback may do.
    std::shared_ptr<bool> m_alive;
    std::unique_ptr<EventLoop::TcpStream> m_stream;
};

}
