#include "eventloop/tcplistener.h"

#include "eventloop/loop.h"
#include "eventloop/tcpstreamprivate.h"

#include <netinet/in.h>
#include <uv.h>

namespace EventLoop {

namespace {

    /// Length of the queue of connections that are not yet accepted. It has to hold the callers that
    /// reconnect at the same time: with a full queue the kernel drops SYN packets, and the retransmission
    /// takes seconds.
    constexpr int backlog = 512;

}

struct TcpListener::Private {
    uv_tcp_t handle {};
    AcceptHook accepted;

    static void onConnection(uv_stream_t* server, int status)
    {
        if (status != 0)
            return;
        auto* self = static_cast<Private*>(server->data);
        auto* d = new TcpStream::Private;
        d->handle.data = d;
        uv_tcp_init(server->loop, &d->handle);
        std::unique_ptr<TcpStream> stream(new TcpStream(d));
        if (uv_accept(server, reinterpret_cast<uv_stream_t*>(&d->handle)) != 0)
            return;
        self->accepted(std::move(stream));
        d->start();
    }
};

TcpListener::TcpListener(Loop& loop, AcceptHook accepted)
    : m_d(new Private)
{
    m_d->accepted = std::move(accepted);
    m_d->handle.data = m_d;
    uv_tcp_init(loop.handle(), &m_d->handle);
}

TcpListener::~TcpListener()
{
    // libuv uses the handle until the close callback has run.
    uv_close(reinterpret_cast<uv_handle_t*>(&m_d->handle),
        [](uv_handle_t* handle) { delete static_cast<Private*>(handle->data); });
}

std::optional<std::string> TcpListener::listen(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    int result = uv_ip4_addr(ip.c_str(), port, &address);
    if (result == 0)
        result = uv_tcp_bind(&m_d->handle, reinterpret_cast<const sockaddr*>(&address), 0);
    if (result == 0)
        result = uv_listen(reinterpret_cast<uv_stream_t*>(&m_d->handle), backlog, &Private::onConnection);
    if (result == 0)
        return std::nullopt;
    return "cannot listen on " + ip + ":" + std::to_string(port) + ": " + uv_strerror(result);
}

std::uint16_t TcpListener::port() const
{
    sockaddr_in address {};
    int size = sizeof address;
    if (uv_tcp_getsockname(&m_d->handle, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 0;
    return ntohs(address.sin_port);
}

}
