#include "sessionplatform/databases.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Standins {

namespace {

    std::vector<std::string> split(const std::string& line)
    {
        std::istringstream stream(line);
        std::vector<std::string> words;
        for (std::string word; stream >> word;)
            words.push_back(word);
        return words;
    }

    std::string error(const std::string& code) { return "ERROR " + code + " stand-in\r\n"; }

}

Databases::Databases(std::string service, int count, std::function<void(const std::string& id)> statusChanged)
    : m_service(std::move(service))
    , m_statusChanged(std::move(statusChanged))
{
    for (int i = 0; i < count; ++i) {
        auto member = std::make_unique<Member>();
        member->id = "db-" + std::to_string(i);
        listenAt(*member);
        m_members.push_back(std::move(member));
    }
    m_primary = m_members.front()->id;
    for (const auto& member : m_members)
        member->thread = std::thread([this, &member = *member] { accept(member); });
}

/// Listens on the member's port. The system chooses it on the first call.
void Databases::listenAt(Member& member)
{
    member.listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(member.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(member.port));
    if (::bind(member.listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        std::abort();
    ::listen(member.listener, 64);
    socklen_t size = sizeof address;
    ::getsockname(member.listener, reinterpret_cast<sockaddr*>(&address), &size);
    member.port = ntohs(address.sin_port);
}

Databases::~Databases()
{
    m_isStopping = true;
    for (const std::string& id : ids())
        crash(id);
    for (const auto& member : m_members)
        member->thread.join();
    for (std::thread& thread : m_threads)
        thread.join();
}

std::vector<std::string> Databases::ids() const
{
    std::vector<std::string> result;
    for (const auto& member : m_members)
        result.push_back(member->id);
    return result;
}

std::string Databases::address(const std::string& id) const
{
    for (const auto& member : m_members) {
        if (member->id == id)
            return "127.0.0.1:" + std::to_string(member->port);
    }
    return {};
}

bool Databases::isPrimary(const std::string& id) const { return primary() == id; }

std::string Databases::primary() const
{
    const std::lock_guard lock(m_mutex);
    return m_primary;
}

bool Databases::isUp(const std::string& id) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto& member : m_members) {
        if (member->id == id)
            return member->isUp;
    }
    return false;
}

void Databases::crash(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& member : m_members) {
        if (member->id != id || !member->isUp)
            continue;
        member->isUp = false;
        ::shutdown(member->listener, SHUT_RDWR);
        for (const int socket : member->sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    m_writesReleased.notify_all();
}

void Databases::setWritesWaiting(bool areWaiting)
{
    const std::lock_guard lock(m_mutex);
    m_areWritesWaiting = areWaiting;
    m_writesReleased.notify_all();
}

void Databases::waitWithWrite(const Member& member)
{
    std::unique_lock lock(m_mutex);
    m_writesReleased.wait(lock, [&] {
        const bool mayRun = m_primary != member.id || isReceived();
        return (!m_areWritesWaiting && mayRun) || !member.isUp;
    });
}

void Databases::setSynchronous()
{
    const std::lock_guard lock(m_mutex);
    m_isSynchronous = true;
}

/// Whether enough replicas receive what the primary commits now.
bool Databases::isReceived() const
{
    return !m_isSynchronous || std::ranges::any_of(m_members, [&](const auto& member) {
        return member->isUp && member->id != m_primary && !m_deaf.contains(member->id)
            && !m_paused.contains(member->id);
    });
}

bool Databases::isAnswerLost(const std::string& line)
{
    const bool isRead = !line.starts_with("QUERY - ") && line.find(" READ ") != std::string::npos;
    return isRead && m_lostAnswersPeriod > 0 && ++m_readAnswers % m_lostAnswersPeriod == 0;
}

void Databases::restart(const std::string& id)
{
    const auto found = std::ranges::find_if(m_members, [&](const auto& member) { return member->id == id; });
    if (found == m_members.end() || isUp(id))
        return;
    Member& member = **found;
    member.thread.join();
    {
        const std::lock_guard lock(m_mutex);
        listenAt(member);
        member.isUp = true;
        member.thread = std::thread([this, &member] { accept(member); });
    }
    m_statusChanged(id);
}

bool Databases::promote(const std::string& id)
{
    if (!isUp(id))
        return false;
    m_promotionsBegun += isPrimary(id) ? 0 : 1;
    const std::chrono::milliseconds time = m_promotionTime;
    if (time == std::chrono::milliseconds::zero()) {
        lead(id);
        return true;
    }
    const std::lock_guard lock(m_mutex);
    m_threads.emplace_back([this, id, time] {
        std::this_thread::sleep_for(time);
        lead(id);
    });
    return true;
}

void Databases::lead(const std::string& id)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_primary == id)
            return;
        m_lostCommits += m_end.number - logEnd(id).number;
        m_primary = id;
        ++m_end.term;
        m_paused.clear();
        m_writesReleased.notify_all();
    }
    for (const std::string& member : ids())
        m_statusChanged(member);
}

int Databases::lostCommits() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_lostCommits);
}

int Databases::commits(const std::string& data) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_commits.find(data);
    return found == m_commits.end() ? 0 : found->second;
}

std::set<std::string> Databases::customers() const
{
    const std::lock_guard lock(m_mutex);
    return m_customers;
}

std::vector<std::string> Databases::protocolViolations() const
{
    const std::lock_guard lock(m_mutex);
    return m_protocolViolations;
}

void Databases::accept(Member& member)
{
    while (true) {
        const int socket = ::accept(member.listener, nullptr, nullptr);
        const std::lock_guard lock(m_mutex);
        if (socket < 0 || !member.isUp) {
            if (socket >= 0)
                ::close(socket);
            ::close(member.listener);
            return;
        }
        member.sockets.insert(socket);
        m_threads.emplace_back([this, &member, socket] { serve(member, socket); });
    }
}

void Databases::serve(Member& member, int socket)
{
    Connection connection;
    std::string input;
    char buffer[4096];
    for (ssize_t size = 0; (size = ::recv(socket, buffer, sizeof buffer, 0)) > 0;) {
        input.append(buffer, static_cast<std::size_t>(size));
        std::string output;
        for (std::size_t end = 0; (end = input.find("\r\n")) != std::string::npos;) {
            const std::string line = input.substr(0, end);
            if (line.starts_with("QUERY") && !line.starts_with("QUERY - "))
                std::this_thread::sleep_for(m_statementTime.load());
            if (line.find(" WRITE ") != std::string::npos)
                waitWithWrite(member);
            const std::string answer = processLine(member, connection, line);
            if (!isAnswerLost(line))
                output += answer;
            input.erase(0, end + 2);
        }
        if (::send(socket, output.data(), output.size(), MSG_NOSIGNAL) < 0)
            break;
    }
    const std::lock_guard lock(m_mutex);
    member.sockets.erase(socket);
    ::close(socket);
}

void Databases::setDeaf(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    m_deaf[id] = m_end;
}

Databases::LogEnd Databases::logEnd(const std::string& id) const
{
    const auto deaf = m_deaf.find(id);
    if (deaf != m_deaf.end() && m_primary != id)
        return deaf->second;
    const auto paused = m_paused.find(id);
    return paused != m_paused.end() ? paused->second.end : m_end;
}

/// The end of the database's log as TERM.NUMBER.
std::string Databases::position(const Member& member) const
{
    const LogEnd end = logEnd(member.id);
    return std::to_string(end.term) + "." + std::to_string(end.number);
}

/// The answer to STATUS and to the commands that answer like it.
std::string Databases::status(const Member& member) const
{
    const auto paused = m_paused.find(member.id);
    const std::uint64_t pausedTerm = paused == m_paused.end() ? 0 : paused->second.term;
    return std::string("DATAROW ") + (m_primary == member.id ? "primary " : "replica ")
        + std::to_string(m_end.term) + " " + position(member) + " " + std::to_string(pausedTerm)
        + " 0 0 1\r\nCOMPLETE -\r\n";
}

std::string Databases::ready(const Member& member, const Connection& connection) const
{
    const char* state = connection.isFailed ? "E" : connection.isInTransaction ? "T" : "I";
    return std::string("READY ") + state + " " + position(member) + "\r\n";
}

std::string Databases::processLine(Member& member, Connection& connection, const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    const auto words = split(line);
    if (words.size() == 4 && words[0] == "STARTUP" && !connection.isOpen) {
        if (words[1] != m_service || words[3] != member.id)
            return error("WRONGNODE");
        connection.isOpen = true;
        m_customers.insert(words[2]);
        return ready(member, connection);
    }
    if (words.size() < 3 || words[0] != "QUERY" || !connection.isOpen) {
        m_protocolViolations.push_back(line);
        return error("MALFORMED") + ready(member, connection);
    }
    return runQuery(member, connection, line) + ready(member, connection);
}

std::string Databases::runQuery(Member& member, Connection& connection, const std::string& line)
{
    std::vector<std::string> words = split(line);
    const std::string id = words[1];
    words.erase(words.begin(), words.begin() + 2);
    if (words[0] == "AFTERLSN")
        words.erase(words.begin(), words.begin() + 2);
    const std::string& verb = words[0];
    const bool isProxyStatement = id == "-";
    if (verb == "BEGIN") {
        connection.isReadOnly = words.size() > 1;
        if (!connection.isReadOnly && m_primary != member.id)
            return error("READONLY");
        if (connection.isInTransaction)
            m_protocolViolations.push_back(line);
        connection.isInTransaction = true;
        return "COMPLETE -\r\n";
    }
    if (verb == "ROLLBACK") {
        connection = { true, false, false, false, {}, connection.prepared };
        return "COMPLETE -\r\n";
    }
    if (verb == "PREPARE") {
        connection.prepared[words.at(1)] = words.at(2) == "WRITE";
        return "COMPLETE -\r\n";
    }
    if (verb == "RESET") {
        connection.prepared.clear();
        return "COMPLETE -\r\n";
    }
    if (verb == "SET")
        return "COMPLETE -\r\n";
    if (verb == "PAUSE" && std::stoull(words.at(1)) > m_end.term && m_primary != member.id) {
        const Pause pause { logEnd(member.id), std::stoull(words.at(1)) };
        m_paused.insert_or_assign(member.id, pause);
    }
    if (verb == "RESUME") {
        m_paused.erase(member.id);
        m_writesReleased.notify_all();
    }
    if (verb == "STATUS" || verb == "STEPDOWN" || verb == "PAUSE" || verb == "RESUME")
        return status(member);
    if (isProxyStatement) {
        m_protocolViolations.push_back(line);
        return error("MALFORMED");
    }
    return runStatement(member, connection, id, std::move(words));
}

std::string Databases::runStatement(
    Member& member, Connection& connection, const std::string& id, std::vector<std::string> words)
{
    bool isWrite = words[0] == "WRITE";
    if (words[0] == "EXECUTE") {
        const auto prepared = connection.prepared.find(words.at(1));
        if (prepared == connection.prepared.end())
            return error("NOSTMT");
        isWrite = prepared->second;
        words.erase(words.begin());
    }
    std::string receipt = "COMPLETE receipt-" + id + "\r\n";
    if (words[0] == "COMMIT") {
        const bool isLost = !connection.writes.empty() && m_primary != member.id;
        for (const auto& [item, data] : connection.writes) {
            if (isLost)
                break;
            m_items[item] = data;
            ++m_commits[data];
        }
        m_end.number += connection.writes.empty() || isLost ? 0 : 1;
        connection = { true, false, false, false, {}, connection.prepared };
        return isLost ? error("READONLY") : receipt;
    }
    if ((isWrite || (connection.isInTransaction && !connection.isReadOnly)) && m_primary != member.id) {
        connection.isFailed = connection.isInTransaction;
        return error("READONLY");
    }
    if (!isWrite) {
        const std::string row = "DATAROW " + m_items[words.at(1)] + "\r\n";
        std::string rows;
        for (int i = 0; i < m_rowsPerRead; ++i)
            rows += row;
        return rows + receipt;
    }
    if (connection.isInTransaction) {
        connection.writes.emplace_back(words.at(1), words.at(2));
        return receipt;
    }
    m_items[words.at(1)] = words.at(2);
    ++m_commits[words.at(2)];
    ++m_end.number;
    return receipt;
}

}
