#include "replicateddatabases.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace Review2 {

namespace {

    /// The sheet of tsh-approvals has 300 ms a promote, and links of about 1 ms.
    constexpr milliseconds promoteTime { 300 };
    constexpr milliseconds networkDelay { 2 };
    constexpr int databaseCount = 3;

    std::string takeWord(std::string& text)
    {
        const std::size_t end = text.find(' ');
        std::string word = text.substr(0, end);
        text = end == std::string::npos ? std::string() : text.substr(end + 1);
        return word;
    }

    constexpr const char* completed = "COMPLETE -\r\n";

}

ReplicatedDatabases::ReplicatedDatabases(
    std::string service, int syncReplicas, std::function<void(const std::string&)> roleChanged)
    : m_service(std::move(service))
    , m_syncReplicas(syncReplicas)
    , m_roleChanged(std::move(roleChanged))
{
    for (int i = 0; i < databaseCount; ++i) {
        auto member = std::make_unique<Member>();
        member->id = m_service + "-db-" + std::to_string(i);
        member->listener = listenOnFreePort(member->port);
        m_members.push_back(std::move(member));
    }
    m_primary = m_members.front()->id;
    for (const auto& member : m_members)
        listen(*member);
    std::thread([this] { replicate(); }).detach();
}

void ReplicatedDatabases::listen(Member& member)
{
    std::thread([this, &member] { accept(member); }).detach();
}

std::vector<std::string> ReplicatedDatabases::ids() const
{
    std::vector<std::string> result;
    for (const auto& member : m_members)
        result.push_back(member->id);
    return result;
}

ReplicatedDatabases::Member& ReplicatedDatabases::member(const std::string& id) const
{
    return **std::ranges::find_if(m_members, [&](const auto& member) { return member->id == id; });
}

std::string ReplicatedDatabases::address(const std::string& id) const
{
    return "127.0.0.1:" + std::to_string(member(id).port);
}

bool ReplicatedDatabases::isPrimary(const std::string& id) const { return primary() == id; }

std::string ReplicatedDatabases::primary() const
{
    const std::lock_guard lock(m_mutex);
    return m_primary;
}

std::set<std::string> ReplicatedDatabases::log(const std::string& id) const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> result;
    for (const Entry& entry : member(id).log)
        result.insert(entry.id);
    return result;
}

void ReplicatedDatabases::setDeaf(const std::string& id, bool isDeaf)
{
    const std::lock_guard lock(m_mutex);
    member(id).isDeaf = isDeaf;
}

void ReplicatedDatabases::crash(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    Member& crashed = member(id);
    crashed.isUp = false;
    ::shutdown(crashed.listener, SHUT_RDWR);
    for (const int socket : crashed.sockets)
        ::shutdown(socket, SHUT_RDWR);
    m_received.notify_all();
}

void ReplicatedDatabases::restart(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    Member& restarted = member(id);
    restarted.listener = listenOnPort(restarted.port);
    restarted.isUp = true;
    listen(restarted);
}

void ReplicatedDatabases::goDark(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    member(id).isDark = true;
}

std::vector<ReplicatedDatabases::Read> ReplicatedDatabases::reads() const
{
    const std::lock_guard lock(m_mutex);
    return m_reads;
}

bool ReplicatedDatabases::promote(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    Member& promoted = member(id);
    if (!promoted.isUp)
        return false;
    if (m_primary != id && m_promoted != id) {
        m_promoted = id;
        std::thread([this, &promoted] {
            std::this_thread::sleep_for(promoteTime);
            lead(promoted);
        }).detach();
    }
    return true;
}

void ReplicatedDatabases::lead(Member& member)
{
    std::string previous;
    {
        const std::lock_guard lock(m_mutex);
        if (m_promoted != member.id)
            return;
        m_promoted.clear();
        previous = std::exchange(m_primary, member.id);
        ++m_term;
    }
    m_roleChanged(previous);
    m_roleChanged(member.id);
}

/// Sends the primary's log to the replicas. One that was ahead of the primary is rolled back.
void ReplicatedDatabases::replicate()
{
    while (true) {
        std::this_thread::sleep_for(networkDelay);
        const std::lock_guard lock(m_mutex);
        const Member& source = member(m_primary);
        if (!source.isUp || source.isDark)
            continue;
        for (const auto& replica : m_members) {
            if (replica->id != m_primary && replica->isUp && !replica->isDeaf && !replica->isDark)
                replica->log = source.log;
        }
        m_received.notify_all();
    }
}

void ReplicatedDatabases::accept(Member& member)
{
    while (true) {
        const int socket = ::accept4(member.listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(m_mutex);
        if (socket < 0 || !member.isUp) {
            if (socket >= 0)
                ::close(socket);
            ::close(member.listener);
            return;
        }
        member.sockets.insert(socket);
        std::thread([this, &member, socket] { serve(member, socket); }).detach();
    }
}

void ReplicatedDatabases::serve(Member& member, int socket)
{
    LineReader reader(socket);
    Session session;
    while (const auto line = reader.next()) {
        const std::string reply = answer(member, session, *line);
        {
            const std::lock_guard lock(m_mutex);
            if (member.isDark)
                continue;
        }
        if (reply.empty() || !sendAll(socket, reply))
            break;
    }
    const std::lock_guard lock(m_mutex);
    member.sockets.erase(socket);
    ::close(socket);
}

/// The end of the log, as TERM.NUMBER.
std::string ReplicatedDatabases::position(const Member& member)
{
    const std::uint64_t term = member.log.empty() ? 1 : member.log.back().term;
    return std::to_string(term) + "." + std::to_string(member.log.size());
}

/// Returns the reply to a line; empty if the connection has to be closed.
std::string ReplicatedDatabases::answer(Member& member, Session& session, const std::string& line)
{
    std::string rest = line;
    const std::string word = takeWord(rest);
    std::string result;
    {
        const std::lock_guard lock(m_mutex);
        if (member.isDark)
            return {};
    }
    if (word == "STARTUP" && !session.isOpen) {
        const std::string service = takeWord(rest);
        takeWord(rest);
        if (service != m_service || rest != member.id)
            return "ERROR WRONGNODE stand-in\r\n";
        session.isOpen = true;
    } else if (word == "QUERY" && session.isOpen) {
        const std::string id = takeWord(rest);
        result = run(member, session, id, rest);
        if (result.empty())
            return {};
    } else {
        return {};
    }
    const std::lock_guard lock(m_mutex);
    if (!member.isUp)
        return {};
    result += std::string("READY ") + session.state + " ";
    result += position(member) + "\r\n";
    return result;
}

std::string ReplicatedDatabases::run(
    Member& member, Session& session, const std::string& id, const std::string& text)
{
    if (text.starts_with("WRITE "))
        return write(member, id);
    if (text.starts_with("READ "))
        return read(member, id);
    if (text == "BEGIN") {
        if (!isPrimary(member.id))
            return "ERROR READONLY stand-in\r\n";
        session.state = 'T';
        return completed;
    }
    if (text == "ROLLBACK") {
        session.state = 'I';
        return completed;
    }
    if (text == "RESET" || text.starts_with("SET "))
        return completed;
    if (text != "STATUS")
        return "ERROR MALFORMED stand-in\r\n";
    const std::lock_guard lock(m_mutex);
    return std::string("DATAROW ") + (m_primary == member.id ? "primary " : "replica ")
        + std::to_string(m_term) + " " + position(member) + " 0 0 0 1\r\n" + completed;
}

/// Runs a read of a `primary` route, which comes inside a transaction.
std::string ReplicatedDatabases::read(Member& member, const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    if (m_primary != member.id)
        return "ERROR READONLY stand-in\r\n";
    Read& read = m_reads.emplace_back();
    read.id = id;
    read.database = member.id;
    for (const Entry& entry : member.log)
        read.log.insert(entry.id);
    return "DATAROW " + std::to_string(member.log.size()) + "\r\nCOMPLETE receipt-" + id + "\r\n";
}

std::string ReplicatedDatabases::write(Member& member, const std::string& id)
{
    std::unique_lock lock(m_mutex);
    if (!member.isUp)
        return {};
    if (m_primary != member.id)
        return "ERROR READONLY stand-in\r\n";
    const Entry entry { m_term, id };
    member.log.push_back(entry);
    const auto hasReceived = [&] {
        return std::ranges::any_of(m_members, [&](const auto& replica) {
            return replica->id != member.id && std::ranges::find(replica->log, entry) != replica->log.end();
        });
    };
    if (m_syncReplicas > 0)
        m_received.wait(lock, [&] { return !member.isUp || m_primary != member.id || hasReceived(); });
    if (!member.isUp || m_primary != member.id)
        return {};
    return "COMPLETE receipt-" + id + "\r\n";
}

}
