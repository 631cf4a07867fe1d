#include "eventloop/tcpstream.h"

#include "eventloop/loop.h"
#include "eventloop/tcpstreamprivate.h"

#include <array>
#include <charconv>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace EventLoop {

namespace {

    constexpr std::size_t readBufferSize = 64UL * 1024;
    /// TCP keep-alive detects an unresponsive peer within about 4 s.
    constexpr unsigned keepAliveDelaySeconds = 2;
    constexpr int keepAliveProbes = 2;
    constexpr int keepAliveIntervalSeconds = 1;
    /// The connection is closed if sent data remains unacknowledged for this long.
    constexpr unsigned userTimeoutMs = 4000;

    // All streams share one buffer: the `received` hook consumes the data before the next read.
    void allocate(uv_handle_t* /*handle*/, std::size_t /*suggested*/, uv_buf_t* buffer)
    {
        static std::array<char, readBufferSize> readBuffer;
        *buffer = uv_buf_init(readBuffer.data(), readBuffer.size());
    }

    bool parseAddress(const std::string& address, sockaddr_in& result)
    {
        const std::size_t colon = address.rfind(':');
        if (colon == std::string::npos)
            return false;
        // libuv would use the port modulo 65536.
        std::uint16_t port = 0;
        const char* const end = address.data() + address.size();
        const auto [last, error] = std::from_chars(address.data() + colon + 1, end, port);
        return error == std::errc() && last == end && port != 0
            && uv_ip4_addr(address.substr(0, colon).c_str(), port, &result) == 0;
    }

}

void TcpStream::Private::onRead(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer)
{
    auto* self = static_cast<Private*>(stream->data);
    if (self->isClosed)
        return;
    // The hook may destroy the stream; this reference keeps the running hook alive.
    const std::shared_ptr<const StreamHooks> hooks = self->hooks;
    if (size > 0) {
        hooks->received({ buffer->base, static_cast<std::size_t>(size) });
        return;
    }
    if (size < 0)
        self->fail();
}

void TcpStream::Private::start()
{
    if (isClosed)
        return;
    uv_tcp_nodelay(&handle, 1);
    uv_tcp_keepalive(&handle, 1, keepAliveDelaySeconds);
    int socket = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &socket) == 0) {
        setsockopt(
            socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof keepAliveIntervalSeconds);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
    }
    startReading();
}

void TcpStream::Private::startReading()
{
    uv_read_start(reinterpret_cast<uv_stream_t*>(&handle), &allocate, &Private::onRead);
}

void TcpStream::Private::onWritten(uv_write_t* request, int status)
{
    auto* self = static_cast<Private*>(request->data);
    self->heldBytes -= sizeof(PendingWrite) + self->pendingWrites.front().data.capacity();
    self->pendingWrites.pop_front();
    if (self->isClosed)
        return;
    // While reading is paused, the read callback does not report a failed connection.
    if (status < 0 && self->isReadingPaused)
        return self->fail();
    const std::shared_ptr<const StreamHooks> hooks = self->hooks;
    if (status == 0 && hooks->sent)
        hooks->sent();
}

/// Lets libuv send `data` without its first `sent` bytes.
void TcpStream::Private::enqueue(std::string data, std::size_t sent)
{
    PendingWrite& pending = pendingWrites.emplace_back();
    pending.data = std::move(data);
    pending.request.data = this;
    heldBytes += sizeof(PendingWrite) + pending.data.capacity();
    uv_buf_t buffer
        = uv_buf_init(pending.data.data() + sent, static_cast<unsigned>(pending.data.size() - sent));
    uv_write(&pending.request, reinterpret_cast<uv_stream_t*>(&handle), &buffer, 1, &Private::onWritten);
}

void TcpStream::Private::fail()
{
    if (isClosed)
        return;
    isClosed = true;
    const std::shared_ptr<const StreamHooks> lastHooks = std::move(hooks);
    lastHooks->closed();
}

void TcpStream::Private::destroy()
{
    isClosed = true;
    hooks.reset();
    // libuv sends nothing more, but ends the writes only at the end of the loop's iteration.
    for (PendingWrite& pending : pendingWrites) {
        heldBytes -= pending.data.capacity();
        pending.data = std::string();
        heldBytes += pending.data.capacity();
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&handle),
        [](uv_handle_t* closed) { delete static_cast<Private*>(closed->data); });
}

TcpStream::TcpStream(Private* d)
    : m_d(d)
{
}

TcpStream::~TcpStream() { m_d->destroy(); }

std::unique_ptr<TcpStream> TcpStream::connect(Loop& loop, const std::string& address, StreamHooks hooks)
{
    auto* d = new Private;
    d->handle.data = d;
    d->connectRequest.data = d;
    d->hooks = std::make_shared<const StreamHooks>(std::move(hooks));
    uv_tcp_init(loop.handle(), &d->handle);
    std::unique_ptr<TcpStream> stream(new TcpStream(d));
    sockaddr_in target {};
    int result = parseAddress(address, target) ? 0 : UV_EINVAL;
    if (result == 0) {
        result = uv_tcp_connect(&d->connectRequest, &d->handle, reinterpret_cast<const sockaddr*>(&target),
            [](uv_connect_t* request, int status) {
                auto* self = static_cast<Private*>(request->data);
                if (self->isClosed)
                    return;
                if (status != 0)
                    return self->fail();
                self->start();
                const std::shared_ptr<const StreamHooks> connectHooks = self->hooks;
                connectHooks->connected();
            });
    }
    // `closed` is posted, not called: the caller does not have the stream yet.
    if (result != 0)
        loop.post([closed = d->hooks->closed] { closed(); });
    return stream;
}

void TcpStream::setHooks(StreamHooks hooks)
{
    m_d->hooks = std::make_shared<const StreamHooks>(std::move(hooks));
}

/// Returns how many bytes need no buffer, because the socket has accepted them or the connection failed.
std::size_t TcpStream::trySend(std::string_view data)
{
    auto* stream = reinterpret_cast<uv_stream_t*>(&m_d->handle);
    if (m_d->isClosed)
        return data.size();
    if (data.empty() || uv_stream_get_write_queue_size(stream) != 0)
        return 0;
    uv_buf_t buffer = uv_buf_init(const_cast<char*>(data.data()), static_cast<unsigned>(data.size()));
    const int result = uv_try_write(stream, &buffer, 1);
    // A failed connection is reported by the read callback.
    if (result < 0 && result != UV_EAGAIN)
        return data.size();
    return result > 0 ? static_cast<std::size_t>(result) : 0;
}

void TcpStream::write(std::string_view data)
{
    const std::size_t sent = trySend(data);
    if (sent < data.size())
        m_d->enqueue(std::string(data.substr(sent)), 0);
}

void TcpStream::writeOwned(std::string data)
{
    const std::size_t sent = trySend(data);
    if (sent < data.size())
        m_d->enqueue(std::move(data), sent);
}

std::size_t TcpStream::unsentBytes() const
{
    return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&m_d->handle));
}

std::size_t TcpStream::heldBytes() const { return m_d->heldBytes; }

void TcpStream::pauseReading()
{
    m_d->isReadingPaused = true;
    if (!m_d->isClosed)
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&m_d->handle));
}

void TcpStream::resumeReading()
{
    m_d->isReadingPaused = false;
    if (!m_d->isClosed)
        m_d->startReading();
}

}
