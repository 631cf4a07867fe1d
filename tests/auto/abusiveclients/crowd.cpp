#include "crowd.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string_view>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

/// Longer than the retransmissions of data that a full receive buffer has dropped.
constexpr int stallMs = 1500;

}

Crowd::Crowd(const std::string& address, int clients)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    for (int i = 0; i < clients; ++i) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int smallest = 1;
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof smallest);
        const int result = ::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
        if (result == 0 || errno == EINPROGRESS)
            m_sockets.push_back(socket);
        else
            ::close(socket);
    }
}

Crowd::~Crowd()
{
    for (const int socket : m_sockets)
        ::close(socket);
}

void Crowd::send(const std::string& text, const std::string& repeated, int repetitions, std::size_t piece)
{
    const std::size_t total = text.size() + repeated.size() * static_cast<std::size_t>(repetitions);
    const auto rest = [&](std::size_t sent) {
        const bool isFirst = sent < text.size();
        const std::string_view source = isFirst ? text : repeated;
        return source.substr(isFirst ? sent : (sent - text.size()) % repeated.size(), piece);
    };
    std::vector<std::size_t> sent(m_sockets.size(), 0);
    std::vector<pollfd> items;
    for (const int socket : m_sockets)
        items.push_back({ socket, POLLOUT, 0 });
    while (::poll(items.data(), items.size(), stallMs) > 0) {
        for (std::size_t i = 0; i < items.size(); ++i) {
            if (items[i].revents == 0)
                continue;
            const std::string_view next = rest(sent[i]);
            const ssize_t size = ::send(m_sockets[i], next.data(), next.size(), MSG_NOSIGNAL);
            sent[i] += size > 0 ? static_cast<std::size_t>(size) : 0;
            // poll() ignores negative descriptors.
            if (sent[i] == total || (size < 0 && errno != EAGAIN))
                items[i].fd = -1;
        }
    }
}
