#include "http/connection.h"

#include <string>
#include <thread>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Http;
using namespace std::chrono_literals;

namespace {

/// Listening socket on the loopback address, on a port chosen by the system.
class Listener {
public:
    Listener()
        : m_fd(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        ::listen(m_fd, 8);
        socklen_t size = sizeof address;
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~Listener() { ::close(m_fd); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Returns whether another connection arrives within `wait`.
    bool hasConnection(std::chrono::milliseconds wait) const
    {
        pollfd item { m_fd, POLLIN, 0 };
        return ::poll(&item, 1, static_cast<int>(wait.count())) > 0;
    }
    int accept() const { return ::accept(m_fd, nullptr, nullptr); }

private:
    int m_fd;
    int m_port = 0;
};

void readRequest(int fd)
{
    std::string text;
    char c = 0;
    while (text.find("\r\n\r\n") == std::string::npos && ::read(fd, &c, 1) == 1)
        text.push_back(c);
}

void answer(int fd, const std::string& body)
{
    const std::string text
        = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    EXPECT_EQ(::write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
}

}

// Guards against a statement that runs twice. If the server closes a reused connection before it responds,
// libcurl itself sends the POST again on a new connection, unless it is prevented from opening one.
TEST(Connection, DoesNotRepeatPostOnNewConnection)
{
    const Listener listener;
    std::thread server([&listener] {
        const int first = listener.accept();
        readRequest(first);
        answer(first, "one");
        readRequest(first);
        ::close(first);
        EXPECT_FALSE(listener.hasConnection(500ms));
    });
    Connection connection(listener.address());
    EXPECT_EQ(connection.send({ .path = "/" }).body, "one");
    Request post { .method = Method::Post, .path = "/", .body = "{}" };
    post.use = ConnectionUse::OnlyEstablished;
    EXPECT_EQ(connection.send(post).status, Status::NoAnswer);
    server.join();
}

// Guards against a needless unknown outcome, and against a false "not run": if the server closed the idle
// connection before the request, no byte of the request is sent and it did not run. A request that was sent
// and got no response has an unknown outcome.
TEST(Connection, ReportsNotSentIfServerClosedIdleConnection)
{
    const Listener listener;
    std::thread server([&listener] {
        const int first = listener.accept();
        readRequest(first);
        answer(first, "one");
        ::close(first);
    });
    Connection connection(listener.address());
    EXPECT_EQ(connection.send({ .path = "/" }).body, "one");
    server.join();
    std::this_thread::sleep_for(50ms);
    Request post { .method = Method::Post, .path = "/", .body = "{}" };
    post.use = ConnectionUse::OnlyEstablished;
    EXPECT_EQ(connection.send(post).status, Status::NotSent);
}

// Guards against a response that arrives after the time-out of its request and is taken for the response to
// the next request on the same connection.
TEST(Connection, DiscardsLateResponseOfTimedOutRequest)
{
    const Listener listener;
    std::thread server([&listener] {
        const int first = listener.accept();
        readRequest(first);
        std::this_thread::sleep_for(200ms);
        const std::string late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
        static_cast<void>(::send(first, late.data(), late.size(), MSG_NOSIGNAL));
        const int second = listener.accept();
        readRequest(second);
        answer(second, "own");
        ::close(second);
        ::close(first);
    });
    Connection connection(listener.address());
    EXPECT_EQ(connection.send({ .path = "/", .timeout = 50ms }).status, Status::NoAnswer);
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(connection.send({ .path = "/" }).body, "own");
    server.join();
}

// Guards against a response that never arrives as a whole because it is longer than the time limit allows:
// each repetition of the request ends at the same limit.
TEST(Connection, CompletesLongResponseThatKeepsArriving)
{
    const Listener listener;
    const std::string body(20, 'x');
    std::thread server([&] {
        const int fd = listener.accept();
        readRequest(fd);
        const std::string head
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        EXPECT_EQ(::write(fd, head.data(), head.size()), static_cast<ssize_t>(head.size()));
        for (const char c : body) {
            std::this_thread::sleep_for(100ms);
            EXPECT_EQ(::send(fd, &c, 1, MSG_NOSIGNAL), 1);
        }
        ::close(fd);
    });
    Connection connection(listener.address());
    const Response response = connection.send({ .path = "/", .timeout = 1s, .stallTimeout = 1s });
    EXPECT_EQ(response.status, Status::Answered);
    EXPECT_EQ(response.body, body);
    server.join();
}

// Guards against a request that waits for ever on a connection that falls silent in the middle of a response,
// or before it.
TEST(Connection, GivesUpResponseThatStalls)
{
    for (const std::string head : { "", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab" }) {
        const Listener listener;
        std::thread server([&] {
            const int fd = listener.accept();
            readRequest(fd);
            EXPECT_EQ(::write(fd, head.data(), head.size()), static_cast<ssize_t>(head.size()));
            char c = 0;
            EXPECT_EQ(::read(fd, &c, 1), 0);
            ::close(fd);
        });
        Connection connection(listener.address());
        EXPECT_EQ(connection.send({ .path = "/", .timeout = 100ms, .stallTimeout = 100ms }).status,
            Status::NoAnswer);
        server.join();
    }
}

// Guards against an unknown outcome of a request whose connection could not be opened.
TEST(Connection, ReportsNotSentIfConnectionIsRefused)
{
    std::string address;
    {
        const Listener listener;
        address = listener.address();
    }
    EXPECT_EQ(Connection(address).send({ .path = "/" }).status, Status::NotSent);
}

// Guards against callers that wait until their deadline for an upstream that was replaced: the request has to
// fail as soon as another thread aborts it.
TEST(Connection, AbortEndsRunningRequest)
{
    const Listener listener;
    Connection connection(listener.address());
    std::thread aborter([&] {
        const int first = listener.accept();
        readRequest(first);
        connection.abort();
        char c = 0;
        EXPECT_EQ(::read(first, &c, 1), 0);
        ::close(first);
    });
    EXPECT_EQ(connection.send({ .path = "/", .timeout = 60s }).status, Status::NoAnswer);
    aborter.join();
}
