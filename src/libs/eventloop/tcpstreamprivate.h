#pragma once

#include "eventloop/tcpstream.h"

#include <uv.h>

namespace EventLoop {

/// State of a stream. It outlives the stream until libuv has closed the handle, and deletes itself then.
struct TcpStream::Private {
    uv_tcp_t handle {};
    uv_connect_t connectRequest {};
    /// Null after the stream has been closed.
    std::shared_ptr<const StreamHooks> hooks;
    bool isClosed = false;

    static void onRead(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer);
    void start();
    void fail();
    void destroy();
};

}
