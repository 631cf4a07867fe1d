#pragma once

#include "core/model/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace EventLoop {

class Loop;

/// What happens on a stream. `closed` is the last call. None is made after the stream's destruction.
struct StreamHooks {
    std::function<void()> connected;
    std::function<void(std::string_view)> received;
    /// The other end closed, the connection broke, or it could not be opened.
    std::function<void()> closed;
};

/// A TCP connection; closed when destroyed. Used on the loop's thread.
class TcpStream {
public:
    /// Connects to `address` (IP:PORT).
    static std::unique_ptr<TcpStream> connect(Loop& loop, const std::string& address, StreamHooks hooks);
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    void setHooks(StreamHooks hooks);
    /// Sends in order. What the other end does not take yet is kept.
    void write(std::string_view data);
    /// Bytes that wait for the other end to read.
    std::size_t unsentBytes() const;

private:
    friend class TcpListener;
    struct Private;
    explicit TcpStream(Private* d);

    Private* m_d;
};

}
