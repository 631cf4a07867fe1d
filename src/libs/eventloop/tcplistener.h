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
    using AcceptHook = std::function<void(std::unique_ptr<TcpStream>)>;

    TcpListener(Loop& loop, AcceptHook accepted);
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;

    /// Returns what went wrong, if anything. Port 0 lets the system choose one.
    std::optional<std::string> listen(const std::string& ip, std::uint16_t port);
    /// The port that is listened on.
    std::uint16_t port() const;

private:
    struct Private;
    Private* m_d;
};

}
