#include "gateway/callerserver.h"

#include <algorithm>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Gateway;

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

/// Sends a request on the connection and returns the first received bytes of the response, at most 4,096.
std::string exchange(int fd, const std::string& headers, const std::string& body)
{
    const std::string text = "POST /v1/r/statement HTTP/1.1\r\nHost: h\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    static_cast<void>(::send(fd, text.data(), text.size(), MSG_NOSIGNAL));
    std::string response(4096, '\0');
    response.resize(
        static_cast<std::size_t>(std::max<ssize_t>(::recv(fd, response.data(), response.size(), 0), 0)));
    return response;
}

int connectTo(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    return ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ? fd : -1;
}

CallerHooks hooks()
{
    return { [](const CallerRequest& request) {
                return CallerResponse { std::nullopt, {}, {}, request.route };
            },
        [] { return std::size_t { 1000 }; } };
}

const std::string statement = R"({"sql":"GET k"})";

}

// Guards against an HTTP server that uses select(), which cannot serve more than 1,024 descriptors.
TEST(CallerServer, ServesMoreConnectionsThanSelectSupports)
{
    const std::uint16_t port = freePort();
    CallerServer server({ "127.0.0.1", port, 2000, 256UL * 1024 }, hooks());
    ASSERT_FALSE(server.start());
    std::vector<int> connections;
    for (int i = 0; i < 1100; ++i) {
        connections.push_back(connectTo(port));
        ASSERT_NE(exchange(connections.back(), "", statement).find("\"done\""), std::string::npos) << i;
    }
    for (const int fd : connections)
        ::close(fd);
}

// Guards against size limits that close the connection or truncate the request: the caller then gets no error
// code, or the wrong one.
TEST(CallerServer, ReportsExceededSizeLimit)
{
    const std::uint16_t port = freePort();
    CallerServer server({ "127.0.0.1", port, 10, 256UL * 1024 }, hooks());
    ASSERT_FALSE(server.start());
    const int fd = connectTo(port);
    const std::string largest = R"({"sql":")" + std::string(990, 'x') + R"("})";
    EXPECT_NE(exchange(fd, "", largest).find("\"done\""), std::string::npos);
    EXPECT_NE(exchange(fd, "", largest + " ").find("body_too_large"), std::string::npos);
    const std::string header = "X-Large: " + std::string(17000, 'x') + "\r\n";
    EXPECT_NE(exchange(fd, header, statement).find("headers_too_large"), std::string::npos);
    ::close(fd);
}
