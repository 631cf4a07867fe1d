#include "client.h"

#include <algorithm>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr int answerLimitSeconds = 5;

}

Client::~Client() { close(); }

void Client::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

bool Client::open(std::uint16_t port, const std::string& database, const std::string& key)
{
    close();
    m_socket = connectToLoopback(port);
    if (m_socket < 0)
        return false;
    const timeval limit { answerLimitSeconds, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    m_input = std::make_unique<Input>(m_socket);
    const bool isSent = sendAll(m_socket, "STARTUP " + database + " " + key + "\r\n");
    const auto line = isSent ? m_input->line() : std::nullopt;
    if (line && line->starts_with("READY"))
        return true;
    close();
    return false;
}

std::vector<std::string> Client::query(const std::string& id, const std::string& text)
{
    std::vector<std::string> answer;
    if (m_socket < 0 || !sendAll(m_socket, "QUERY " + id + " " + text + "\r\n")) {
        close();
        return answer;
    }
    while (auto line = m_input->line()) {
        answer.push_back(std::move(*line));
        if (answer.back().starts_with("READY"))
            return answer;
    }
    close();
    return answer;
}

bool isSuccess(const std::vector<std::string>& answer)
{
    const bool isWhole = !answer.empty() && answer.back().starts_with("READY");
    return isWhole
        && std::ranges::any_of(answer, [](const std::string& line) { return line.starts_with("COMPLETE"); });
}

std::string textOf(const std::vector<std::string>& answer)
{
    std::string text;
    for (const std::string& line : answer)
        text += (text.empty() ? "" : " | ") + line;
    return text.empty() ? "no answer" : text;
}

}
