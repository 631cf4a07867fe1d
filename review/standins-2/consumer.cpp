#include "consumer.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Review2 {

namespace {

    constexpr timeval receiveLimit { 10, 0 };

}

Consumer::Consumer(const std::string& address)
    : m_socket(connectTo(address))
    , m_reader(m_socket)
{
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receiveLimit, sizeof receiveLimit);
}

Consumer::~Consumer()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

bool Consumer::open(const std::string& database, const std::string& key)
{
    if (m_socket < 0 || !send("STARTUP " + database + " " + key + "\r\n"))
        return false;
    const auto line = m_reader.next();
    return line && line->starts_with("READY ");
}

Answer Consumer::query(const std::string& id, const std::string& text)
{
    send("QUERY " + id + " " + text + "\r\n");
    return readAnswer();
}

Answer Consumer::readAnswer()
{
    Answer answer;
    while (const auto line = m_reader.next()) {
        const std::size_t space = line->find(' ');
        const std::string word = line->substr(0, space);
        const std::string rest = space == std::string::npos ? std::string() : line->substr(space + 1);
        if (word == "DATAROW")
            answer.rows.push_back(rest);
        else if (word == "COMPLETE")
            answer.receipt = rest;
        else if (word == "ERROR")
            answer.code = rest.substr(0, rest.find(' '));
        if (word != "READY")
            continue;
        answer.state = rest.empty() ? ' ' : rest.front();
        return answer;
    }
    answer.isCut = true;
    return answer;
}

}
