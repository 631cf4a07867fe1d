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
        hooks.connected = [] {};
        hooks.received = [](std::string_view) {};
        hooks.closed = [] {};
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
    }

    void runFor(Model::Duration duration)
    {
        Timer timer(loop, [this] { loop.stop(); });
        timer.start(duration);
        loop.run();
    }

    /// Runs the loop until the condition holds, for 10 s at most.
    bool runUntil(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i)
            runFor(10ms);
        return condition();
    }

    bool isAccepted()
    {
        return runUntil([this] { return server != nullptr; });
    }

    Loop loop;
    std::function<void()> sent = [] {};
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
    ASSERT_TRUE(isAccepted());
    server->pauseReading();
    client->write(std::string(1000, 'x'));
    runFor(50ms);
    EXPECT_EQ(received, 0U);
    server->resumeReading();
    EXPECT_TRUE(runUntil([this] { return received == 1000; }));
}

// Guards against unread answers that occupy memory without being reported, or stay reported after the peer
// has read them.
TEST_F(TcpStreamTest, ReportsHeldBytesUntilTheyAreSent)
{
    ASSERT_TRUE(isAccepted());
    client->pauseReading();
    constexpr std::size_t size = 32UL * 1024 * 1024;
    server->writeOwned(std::string(size, 'x'));
    EXPECT_GE(server->heldBytes(), size);
    bool isSent = false;
    sent = [&] { isSent = true; };
    runFor(50ms);
    EXPECT_GE(server->heldBytes(), size);
    client->resumeReading();
    EXPECT_TRUE(runUntil([&] { return isSent && server->heldBytes() == 0; }));
}

// Guards against a paused stream whose peer is gone, and that is kept for ever with its data.
TEST_F(TcpStreamTest, NoticesClosedPeerWhilePaused)
{
    ASSERT_TRUE(isAccepted());
    client->pauseReading();
    server->pauseReading();
    server->write(std::string(32UL * 1024 * 1024, 'x'));
    runFor(50ms);
    client.reset();
    EXPECT_TRUE(runUntil([this] { return isClosed; }));
}
