#pragma once

#include "eventloop/tcpstream.h"

#include <uv.h>

namespace EventLoop {

/// Lives until the library has closed the handle.
struct TcpStream::Private {
    uv_tcp_t handle {};
    uv_connect_t connectRequest {};
    /// Null once the stream is closed.
    std::shared_ptr<const StreamHooks> hooks;
    bool isClosed = false;

    static void onRead(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer);
    void start();
    void fail();
    void destroy();
};

}
