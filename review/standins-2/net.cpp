#include "net.h"

#include <array>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review2 {

namespace {

    constexpr std::string_view lineEnd = "\r\n";
    constexpr int backlog = 512;

    int bindLoopback(std::uint16_t& port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(socket);
            return -1;
        }
        socklen_t size = sizeof address;
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        return socket;
    }

}

int listenOnFreePort(std::uint16_t& port)
{
    port = 0;
    const int socket = bindLoopback(port);
    if (socket < 0 || ::listen(socket, backlog) != 0)
        std::abort();
    return socket;
}

int listenOnPort(std::uint16_t port)
{
    const int socket = bindLoopback(port);
    if (socket < 0 || ::listen(socket, backlog) != 0)
        std::abort();
    return socket;
}

std::uint16_t freePort() { return freePorts(1); }

std::uint16_t freePorts(int count)
{
    while (true) {
        std::uint16_t first = 0;
        const int probe = bindLoopback(first);
        if (probe >= 0)
            ::close(probe);
        bool areFree = probe >= 0 && first + count < 65535;
        for (int i = 0; i < count && areFree; ++i) {
            auto port = static_cast<std::uint16_t>(first + i);
            const int socket = bindLoopback(port);
            areFree = socket >= 0;
            if (socket >= 0)
                ::close(socket);
        }
        if (areFree)
            return first;
    }
}

int connectTo(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(&address[colon + 1], nullptr, 10)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0)
        return socket;
    ::close(socket);
    return -1;
}

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool LineReader::receive()
{
    std::array<char, 65536> buffer {};
    const ssize_t size = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (size <= 0)
        return false;
    m_buffer.append(buffer.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> LineReader::next()
{
    while (true) {
        const std::size_t end = m_buffer.find(lineEnd, m_searched);
        if (end != std::string::npos) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + lineEnd.size());
            m_searched = 0;
            return line;
        }
        m_searched = m_buffer.empty() ? 0 : m_buffer.size() - 1;
        if (!receive())
            return std::nullopt;
    }
}

std::string LineReader::bytes(std::size_t count)
{
    while (m_buffer.size() < count && receive()) { }
    std::string result = m_buffer.substr(0, count);
    m_buffer.erase(0, result.size());
    m_searched = 0;
    return result;
}

}
