#include "client.h"

#include <array>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr int receiveTimeoutSeconds = 8;
    constexpr std::size_t readSize = 64UL * 1024;
    constexpr std::size_t errorPrefix = 6; // "ERROR "

}

std::string Answer::errorCode() const
{
    if (!result.starts_with("ERROR "))
        return {};
    const std::string rest = result.substr(errorPrefix);
    return rest.substr(0, rest.find(' '));
}

Client::Client(const std::string& address)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const timeval limit { receiveTimeoutSeconds, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const int isOn = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
    if (::connect(m_socket, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

Client::~Client()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

bool Client::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (m_socket >= 0 && sent < bytes.size()) {
        const ssize_t size = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return m_socket >= 0;
}

/// Returns false at the end of the connection, or if nothing arrives in time.
bool Client::receive()
{
    std::array<char, readSize> data {};
    const ssize_t size = m_socket < 0 ? -1 : ::recv(m_socket, data.data(), data.size(), 0);
    if (size <= 0)
        return false;
    m_buffer.append(data.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> Client::line()
{
    std::size_t searchedUntil = 0;
    while (true) {
        const std::size_t end = m_buffer.find("\r\n", searchedUntil);
        if (end != std::string::npos) {
            std::string result = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return result;
        }
        searchedUntil = m_buffer.empty() ? 0 : m_buffer.size() - 1;
        if (!receive())
            return std::nullopt;
    }
}

bool Client::open(const std::string& database, const std::string& key)
{
    if (!send("STARTUP " + database + " " + key + "\r\n"))
        return false;
    const auto greeting = line();
    return greeting && greeting->starts_with("READY");
}

Answer Client::receiveAnswer()
{
    Answer answer;
    while (const auto next = line()) {
        if (next->starts_with("DATAROW")) {
            answer.rows.push_back(next->size() > 8 ? next->substr(8) : std::string());
        } else if (next->starts_with("READY")) {
            answer.ready = *next;
            answer.isWhole = true;
            break;
        } else {
            answer.result = *next;
        }
    }
    return answer;
}

Answer Client::query(const std::string& id, const std::string& text)
{
    if (!send("QUERY " + id + " " + text + "\r\n"))
        return {};
    return receiveAnswer();
}

}
