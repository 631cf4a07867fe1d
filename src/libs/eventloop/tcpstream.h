#pragma once

#include "core/model/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace EventLoop {

class Loop;

/// Callbacks of a stream. `closed` is the last one. None is called after the stream has been destroyed.
struct StreamHooks {
    /// Only for streams that `TcpStream::connect` opens.
    std::function<void()> connected;
    /// The data is valid only during the call.
    std::function<void(std::string_view)> received;
    /// The socket has accepted the data of an earlier call of `write` that was buffered; may be empty.
    std::function<void()> sent;
    /// The peer closed the connection, the connection failed, or it could not be opened.
    std::function<void()> closed;
};

/// TCP connection; the destructor closes it. Used on the loop's thread.
class TcpStream {
public:
    /// Starts to connect to `address`, an IPv4 address of the form IP:PORT. Errors, including a malformed
    /// address, are reported by `closed`.
    static std::unique_ptr<TcpStream> connect(Loop& loop, const std::string& address, StreamHooks hooks);
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    void setHooks(StreamHooks hooks);
    /// Sends `data` after all earlier data. Bytes that the socket does not accept yet are buffered without a
    /// limit, see `unsentBytes`. Does nothing once the stream is closed; errors are reported by `closed`.
    void write(std::string_view data);
    /// As `write`, but does not copy what has to be buffered.
    void writeOwned(std::string data);
    /// Buffered bytes that the socket has not accepted yet.
    std::size_t unsentBytes() const;
    /// Memory that buffered data occupies until the socket has accepted all of it.
    std::size_t heldBytes() const;

    /// Stops reading, so that the peer can send no more than the system buffers. The end of the connection is
    /// noticed only by a failed write until `resumeReading`.
    void pauseReading();
    void resumeReading();

private:
    friend class TcpListener;
    struct Private;
    explicit TcpStream(Private* d);
    std::size_t trySend(std::string_view data);

    Private* m_d;
};

}
