#include "eventloop/loop.h"
#include "eventloop/tcplistener.h"
#include "eventloop/timer.h"

#include <gtest/gtest.h>

using namespace EventLoop;
using namespace std::chrono_literals;

namespace {

/// Two ends of a connection on one loop.
struct TcpStreamTest : testing::Test {
    TcpStreamTest()
    {
        listener.listen("127.0.0.1", 0);
        StreamHooks hooks;
        hooks.connected = [this] { connected(); };
        hooks.received = [](std::string_view) { };
        hooks.closed = [] { };
        client = TcpStream::connect(loop, "127.0.0.1:" + std::to_string(listener.port()), std::move(hooks));
    }

    void accept(std::unique_ptr<TcpStream> stream)
    {
        server = std::move(stream);
        StreamHooks hooks;
        hooks.received = [this](std::string_view data) { received += data.size(); };
        hooks.sent = [this] { sent(); };
        hooks.closed = [this] { isClosed = true; };
        server->setHooks(std::move(hooks));
        accepted();
    }

    void runFor(Model::Duration duration)
    {
        Timer timer(loop, [this] { loop.stop(); });
        timer.start(duration);
        loop.run();
    }

    Loop loop;
    std::function<void()> connected = [] { };
    std::function<void()> accepted = [] { };
    std::function<void()> sent = [] { };
    std::size_t received = 0;
    bool isClosed = false;
    std::unique_ptr<TcpStream> server;
    std::unique_ptr<TcpStream> client;
    TcpListener listener { loop, [this](std::unique_ptr<TcpStream> stream) { accept(std::move(stream)); } };
};

}

// Guards against data that is read while reading is paused, or lost by the pause.
TEST_F(TcpStreamTest, ReadsNothingWhilePaused)
{
    runFor(50ms);
    ASSERT_TRUE(server);
    server->pauseReading();
    client->write(std::string(1000, 'x'));
    runFor(50ms);
    EXPECT_EQ(received, 0U);
    server->resumeReading();
    runFor(50ms);
    EXPECT_EQ(received, 1000U);
}

// Guards against unread answers that occupy memory without being reported, or stay reported after the peer
// has read them.
TEST_F(TcpStreamTest, ReportsHeldBytesUntilTheyAreSent)
{
    runFor(50ms);
    ASSERT_TRUE(server);
    client->pauseReading();
    constexpr std::size_t size = 32UL * 1024 * 1024;
    server->writeOwned(std::string(size, 'x'));
    EXPECT_GE(server->heldBytes(), size);
    bool isSent = false;
    sent = [&] { isSent = true; };
    runFor(50ms);
    EXPECT_GE(server->heldBytes(), size);
    client->resumeReading();
    runFor(1s);
    EXPECT_TRUE(isSent);
    EXPECT_EQ(server->heldBytes(), 0U);
}

// Guards against a paused stream whose peer is gone, and that is kept for ever with its data.
TEST_F(TcpStreamTest, NoticesClosedPeerWhilePaused)
{
    runFor(50ms);
    ASSERT_TRUE(server);
    client->pauseReading();
    server->pauseReading();
    server->write(std::string(32UL * 1024 * 1024, 'x'));
    runFor(50ms);
    client.reset();
    runFor(200ms);
    EXPECT_TRUE(isClosed);
}
