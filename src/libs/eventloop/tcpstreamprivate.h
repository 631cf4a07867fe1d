#pragma once

#include "eventloop/tcpstream.h"

#include <list>

#include <uv.h>

namespace EventLoop {

/// State of a stream. It outlives the stream until libuv has closed the handle, and deletes itself then.
struct TcpStream::Private {
    uv_tcp_t handle {};
    struct PendingWrite {
        uv_write_t request {};
        std::string data;
    };

    uv_connect_t connectRequest {};
    /// Null after the stream has been closed.
    std::shared_ptr<const StreamHooks> hooks;
    bool isClosed = false;
    bool isReadingPaused = false;
    /// In the order in which the socket takes them.
    std::list<PendingWrite> pendingWrites;
    std::size_t heldBytes = 0;

    static void onRead(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer);
    static void onWritten(uv_write_t* request, int status);
    void start();
    void startReading();
    void enqueue(std::string data, std::size_t sent);
    void fail();
    void destroy();
};

}
