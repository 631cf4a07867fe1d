#pragma once

#include "eventloop/tcpstream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace EventLoop {

class Loop;

/// Accepts TCP connections. Used on the loop's thread.
class TcpListener {
public:
    /// Receives each accepted connection. It has to call `setHooks` before it returns: data is read
    /// afterwards.
    using AcceptHook = std::function<void(std::unique_ptr<TcpStream>)>;

    TcpListener(Loop& loop, AcceptHook accepted);
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;

    /// Binds to an IPv4 address and listens; with port 0 the system chooses a free port. Returns an error
    /// message, or `nullopt` on success.
    std::optional<std::string> listen(const std::string& ip, std::uint16_t port);
    /// The port that the listener is bound to, or 0 on error.
    std::uint16_t port() const;

private:
    struct Private;
    Private* m_d;
};

}
