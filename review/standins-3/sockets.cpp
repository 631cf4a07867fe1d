#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr int backlog = 256;
    constexpr std::size_t readSize = 64UL * 1024;
    constexpr std::string_view lineEnd = "\r\n";

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void disableDelay(int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

}

int listenOnLoopback(std::uint16_t& port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof address;
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), size) != 0
        || ::listen(listener, backlog) != 0
        || ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        ::close(listener);
        return -1;
    }
    port = ntohs(address.sin_port);
    return listener;
}

int connectToLoopback(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    disableDelay(socket);
    return socket;
}

bool sendAll(int socket, std::string_view data)
{
    while (!data.empty()) {
        const ssize_t sent = ::send(socket, data.data(), data.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::uint16_t peerPort(int socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    if (::getpeername(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 0;
    return ntohs(address.sin_port);
}

bool Input::receive()
{
    const std::size_t before = m_buffer.size();
    m_buffer.resize(before + readSize);
    const ssize_t size = ::recv(m_socket, m_buffer.data() + before, readSize, 0);
    m_buffer.resize(before + (size > 0 ? static_cast<std::size_t>(size) : 0));
    return size > 0;
}

std::optional<std::string> Input::line()
{
    std::size_t end = m_buffer.find(lineEnd);
    while (end == std::string::npos) {
        const std::size_t searched = m_buffer.empty() ? 0 : m_buffer.size() - 1;
        if (!receive())
            return std::nullopt;
        end = m_buffer.find(lineEnd, searched);
    }
    std::string result = m_buffer.substr(0, end);
    m_buffer.erase(0, end + lineEnd.size());
    return result;
}

std::optional<std::string> Input::bytes(std::size_t count)
{
    while (m_buffer.size() < count) {
        if (!receive())
            return std::nullopt;
    }
    std::string result = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return result;
}

}
