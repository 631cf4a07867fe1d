#include "databases.h"

#include <algorithm>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr int backlog = 64;
    constexpr int slots = 16;

    std::string error(const std::string& code) { return "ERROR " + code + " stand-in\r\n"; }

    std::string takeWord(std::string& text)
    {
        const std::size_t end = text.find(' ');
        std::string word = text.substr(0, end);
        text = end == std::string::npos ? std::string() : text.substr(end + 1);
        return word;
    }

}

Databases::Databases(Settings settings, Record& record, StatusHook statusChanged)
    : m_settings(std::move(settings))
    , m_record(record)
    , m_statusChanged(std::move(statusChanged))
{
    for (std::size_t i = 0; i < m_settings.zones.size(); ++i) {
        auto created = std::make_unique<Member>();
        created->id = "db-" + std::to_string(i);
        created->zone = m_settings.zones[i];
        listenOn(*created);
        m_members.push_back(std::move(created));
    }
    m_primary = m_members.front()->id;
    for (const auto& each : m_members)
        each->thread = std::thread([this, &each = *each] { accept(each); });
}

Databases::~Databases()
{
    for (const std::string& id : ids())
        crash(id);
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_replicated.notify_all();
    }
    for (const auto& each : m_members)
        each->thread.join();
    for (std::thread& thread : m_threads)
        thread.join();
}

void Databases::listenOn(Member& member)
{
    member.listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(member.listener, reinterpret_cast<sockaddr*>(&address), size) != 0
        || ::listen(member.listener, backlog) != 0)
        std::abort();
    ::getsockname(member.listener, reinterpret_cast<sockaddr*>(&address), &size);
    member.port = ntohs(address.sin_port);
}

std::vector<std::string> Databases::ids() const
{
    std::vector<std::string> result;
    for (const auto& each : m_members)
        result.push_back(each->id);
    return result;
}

Databases::Member& Databases::member(const std::string& id) const
{
    return **std::ranges::find_if(m_members, [&](const auto& each) { return each->id == id; });
}

std::string Databases::entry(const std::string& id) const
{
    const std::lock_guard lock(m_mutex);
    const Member& found = member(id);
    if (!found.isUp)
        return {};
    return nlohmann::json {
        { "service", m_settings.service }, { "address", "127.0.0.1:" + std::to_string(found.port) },
        { "zone", found.zone }, { "version", "v1" }, { "slots", slots },
        { "state", found.isDraining ? "draining" : "ready" }, { "coldLeftMs", 0 },
        { "dbRole", m_primary == id ? "primary" : "replica" }, { "seq", 1 }, { "born", 1 }
    }.dump();
}

std::string Databases::primary() const
{
    const std::lock_guard lock(m_mutex);
    return m_primary;
}

void Databases::crash(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    Member& found = member(id);
    if (!found.isUp)
        return;
    found.isUp = false;
    ::shutdown(found.listener, SHUT_RDWR);
    for (const int socket : found.sockets)
        ::shutdown(socket, SHUT_RDWR);
    m_replicated.notify_all();
}

void Databases::drain(const std::string& id)
{
    {
        const std::lock_guard lock(m_mutex);
        member(id).isDraining = true;
    }
    m_statusChanged(id);
}

void Databases::setDeaf(const std::string& id, bool isDeaf)
{
    const std::lock_guard lock(m_mutex);
    member(id).isDeaf = isDeaf;
    replicate();
}

void Databases::setFailing(const std::string& id, double share)
{
    const std::lock_guard lock(m_mutex);
    member(id).failingShare = share;
}

/// Copies the primary's log to all replicas that receive.
void Databases::replicate()
{
    const Member& source = member(m_primary);
    if (!source.isUp)
        return;
    for (const auto& each : m_members) {
        if (each->id == m_primary || !each->isUp || each->isDeaf)
            continue;
        each->log = source.log;
        each->term = source.term;
    }
    m_replicated.notify_all();
}

bool Databases::promote(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    if (std::ranges::none_of(m_members, [&](const auto& each) { return each->id == id && each->isUp; }))
        return false;
    if (m_primary != id)
        m_threads.emplace_back([this, id] { completePromotion(id); });
    return true;
}

void Databases::completePromotion(const std::string& id)
{
    std::this_thread::sleep_for(m_settings.promoteTime);
    {
        const std::lock_guard lock(m_mutex);
        Member& promoted = member(id);
        if (!promoted.isUp || m_primary == id)
            return;
        m_primary = id;
        promoted.term = ++m_term;
        m_record.write("database " + id + " leads term " + std::to_string(m_term) + " with "
            + std::to_string(promoted.log.size()) + " commits");
        // Logs that are longer than the new primary's are rolled back.
        replicate();
    }
    for (const std::string& each : ids())
        m_statusChanged(each);
}

std::vector<RunStatement> Databases::runStatements() const
{
    const std::lock_guard lock(m_mutex);
    return m_run;
}

std::vector<RunStatement> Databases::arrivedStatements() const
{
    const std::lock_guard lock(m_mutex);
    return m_arrived;
}

std::vector<LogEntry> Databases::log(const std::string& id) const
{
    const std::lock_guard lock(m_mutex);
    return member(id).log;
}

void Databases::accept(Member& member)
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
        const int isOn = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
        member.sockets.insert(socket);
        m_threads.emplace_back([this, &member, socket] { serve(member, socket); });
    }
}

void Databases::serve(Member& member, int socket)
{
    Connection connection;
    std::string input;
    std::vector<char> buffer(64UL * 1024);
    for (ssize_t size = 0; (size = ::recv(socket, buffer.data(), buffer.size(), 0)) > 0;) {
        input.append(buffer.data(), static_cast<std::size_t>(size));
        for (std::size_t end = 0; (end = input.find("\r\n")) != std::string::npos;) {
            const std::string line = input.substr(0, end);
            input.erase(0, end + 2);
            const std::string output = process(member, connection, line);
            std::size_t sent = 0;
            while (sent < output.size()) {
                const ssize_t count
                    = ::send(socket, output.data() + sent, output.size() - sent, MSG_NOSIGNAL);
                if (count <= 0)
                    break;
                sent += static_cast<std::size_t>(count);
            }
        }
    }
    const std::lock_guard lock(m_mutex);
    member.sockets.erase(socket);
    ::close(socket);
}

std::string Databases::ready(const Member& member, const Connection& connection) const
{
    const char* state = connection.transaction == Transaction::None ? "I"
        : connection.transaction == Transaction::Failed             ? "E"
                                                                    : "T";
    return std::string("READY ") + state + " " + std::to_string(member.term) + "."
        + std::to_string(member.log.size()) + "\r\n";
}

std::string Databases::process(Member& member, Connection& connection, const std::string& line)
{
    std::string rest = line;
    const std::string word = takeWord(rest);
    if (word == "STARTUP") {
        const std::lock_guard lock(m_mutex);
        const std::string service = takeWord(rest);
        connection.tenant = takeWord(rest);
        if (service != m_settings.service || (!rest.empty() && rest != member.id))
            return error("WRONGNODE " + member.id);
        connection.isOpen = true;
        return ready(member, connection);
    }
    const std::string id = takeWord(rest);
    if (word != "QUERY" || !connection.isOpen) {
        m_record.write(member.id + " got a malformed message: " + printable(line));
        const std::lock_guard lock(m_mutex);
        return error("MALFORMED") + ready(member, connection);
    }
    if (rest.starts_with("AFTERLSN ")) {
        takeWord(rest);
        std::string position = takeWord(rest);
        const std::uint64_t term = std::strtoull(position.c_str(), nullptr, 10);
        const std::uint64_t number = std::strtoull(position.c_str() + position.find('.') + 1, nullptr, 10);
        const std::lock_guard lock(m_mutex);
        if (std::pair(member.term, member.log.size()) < std::pair(term, number))
            return error("LAGGING") + ready(member, connection);
    }
    {
        const std::lock_guard lock(m_mutex);
        if (std::uniform_real_distribution<double>()(m_generator) < member.failingShare) {
            m_record.write(member.id + " fails " + id + " " + printable(rest));
            if (connection.transaction != Transaction::None)
                connection.transaction = rest == "ROLLBACK" ? Transaction::None : Transaction::Failed;
            return error("FAILED") + ready(member, connection);
        }
    }
    if (id == "-") {
        const std::lock_guard lock(m_mutex);
        return runOwnCommand(member, connection, rest) + ready(member, connection);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_arrived.push_back({ member.id, id, rest, connection.values });
    }
    if (m_settings.workTime)
        std::this_thread::sleep_for(m_settings.workTime(rest));
    const std::string result = runStatement(member, connection, id, rest);
    const std::lock_guard lock(m_mutex);
    return result + ready(member, connection);
}

std::string Databases::runOwnCommand(Member& member, Connection& connection, const std::string& text)
{
    std::string done = "COMPLETE -\r\n";
    std::string rest = text;
    const std::string verb = takeWord(rest);
    if (verb == "ROLLBACK") {
        connection.transaction = Transaction::None;
        connection.writes.clear();
        return done;
    }
    if (connection.transaction == Transaction::Failed)
        return error("MALFORMED");
    if (verb == "BEGIN") {
        if (rest.empty() && m_primary != member.id)
            return error("READONLY");
        connection.transaction = rest.empty() ? Transaction::Open : Transaction::ReadOnly;
        connection.term = member.term;
        return done;
    }
    if (verb == "PREPARE") {
        const std::string name = takeWord(rest);
        connection.prepared[name] = takeWord(rest);
        return done;
    }
    if (verb == "RESET") {
        connection.prepared.clear();
        connection.values.clear();
        return done;
    }
    if (verb == "SET") {
        const std::string name = takeWord(rest);
        connection.values[name] = rest;
        return done;
    }
    if (verb == "STATUS") {
        return "DATAROW " + std::string(m_primary == member.id ? "primary " : "replica ")
            + std::to_string(member.term) + " " + std::to_string(member.term) + "."
            + std::to_string(member.log.size()) + " 0 0 0 1\r\n" + done;
    }
    return error("MALFORMED");
}

std::string Databases::latest(const Member& member, const std::string& item) const
{
    std::string data;
    for (const LogEntry& entry : member.log) {
        for (const auto& [name, value] : entry.writes) {
            if (name == item)
                data = value;
        }
    }
    return data;
}

std::string Databases::runStatement(
    Member& member, Connection& connection, const std::string& id, const std::string& text)
{
    std::string rest = text;
    std::string verb = takeWord(rest);
    std::string receipt = "COMPLETE receipt-" + id + "\r\n";
    std::vector<std::pair<std::string, std::string>> writes;
    std::uint64_t term = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (connection.transaction == Transaction::Failed)
            return error("MALFORMED");
        if (verb == "EXECUTE") {
            const auto prepared = connection.prepared.find(takeWord(rest));
            if (prepared == connection.prepared.end())
                return error("NOSTMT");
            verb = prepared->second;
        }
        const bool isPlain = connection.transaction == Transaction::Open;
        const bool hasLostLead = isPlain && (m_primary != member.id || connection.term != member.term);
        const bool needsLead
            = verb == "WRITE" || (isPlain && (verb != "COMMIT" || !connection.writes.empty()));
        if ((needsLead && m_primary != member.id) || (needsLead && hasLostLead)) {
            connection.transaction
                = connection.transaction == Transaction::None ? Transaction::None : Transaction::Failed;
            if (verb == "COMMIT")
                connection.transaction = Transaction::None;
            return error("READONLY");
        }
        m_run.push_back({ member.id, id, text, connection.values });
        m_record.write(member.id + " runs " + id + " " + printable(text));
        if (verb == "READ")
            return "DATAROW " + latest(member, rest) + "\r\n" + receipt;
        if (verb == "WRITE") {
            const std::string item = takeWord(rest);
            if (connection.transaction != Transaction::None) {
                connection.writes.emplace_back(item, rest);
                return receipt;
            }
            writes.emplace_back(item, rest);
        } else if (verb == "COMMIT") {
            writes = std::exchange(connection.writes, {});
            connection.transaction = Transaction::None;
            if (writes.empty())
                return receipt;
        } else {
            return error("MALFORMED");
        }
        term = member.term;
    }
    const std::string refusal = commit(member, writes, term);
    return refusal.empty() ? receipt : refusal;
}

/// Appends a commit to the log, and with `syncReplicas` waits until a replica has received it. Returns the
/// error, or an empty text.
std::string Databases::commit(
    Member& member, const std::vector<std::pair<std::string, std::string>>& writes, std::uint64_t term)
{
    std::unique_lock lock(m_mutex);
    if (m_primary != member.id || member.term != term || !member.isUp)
        return error("READONLY");
    member.log.push_back({ term, writes });
    const std::size_t number = member.log.size();
    replicate();
    if (m_settings.syncReplicas == 0)
        return {};
    const auto isReceived = [&] {
        return std::ranges::any_of(m_members, [&](const auto& each) {
            return each->id != member.id && each->isUp && each->term == term && each->log.size() >= number;
        });
    };
    m_replicated.wait(
        lock, [&] { return m_isStopping || !member.isUp || m_primary != member.id || isReceived(); });
    return isReceived() ? std::string() : error("FAILED");
}

}
