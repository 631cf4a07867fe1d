#include "databases.h"

#include <thread>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace Review2 {

namespace {

    std::string takeWord(std::string& text)
    {
        const std::size_t end = text.find(' ');
        std::string word = text.substr(0, end);
        text = end == std::string::npos ? std::string() : text.substr(end + 1);
        return word;
    }

    std::string error(const std::string& code) { return "ERROR " + code + " stand-in\r\n"; }

    constexpr const char* completed = "COMPLETE -\r\n";

}

Databases::Databases(DatabaseSettings settings, Observer observer)
    : m_settings(std::move(settings))
    , m_observer(std::move(observer))
{
    for (int i = 0; i < m_settings.count; ++i) {
        auto member = std::make_unique<Member>();
        member->id = m_settings.service + "-db-" + std::to_string(i);
        member->listener = listenOnFreePort(member->port);
        m_members.push_back(std::move(member));
    }
    m_primary = m_members.front()->id;
    for (const auto& member : m_members)
        std::thread([this, &member = *member] { accept(member); }).detach();
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

bool Databases::isPrimary(const std::string& id) const
{
    const std::lock_guard lock(m_mutex);
    return m_primary == id;
}

bool Databases::promote(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    if (m_primary != id)
        ++m_term;
    m_primary = id;
    return true;
}

void Databases::accept(Member& member)
{
    while (true) {
        const int socket = ::accept4(member.listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
            std::thread([this, &member, socket] { serve(member, socket); }).detach();
    }
}

void Databases::serve(Member& member, int socket)
{
    LineReader reader(socket);
    Session session;
    while (const auto line = reader.next()) {
        const std::string reply = answer(member, session, *line);
        if (std::exchange(session.isAnswerLost, false))
            continue;
        if (reply.empty() || !sendAll(socket, reply))
            break;
    }
    ::close(socket);
}

std::string Databases::ready(const Session& session) const
{
    return std::string("READY ") + session.state + " " + std::to_string(m_term) + "."
        + std::to_string(m_position) + "\r\n";
}

/// Returns the reply to a line; empty if the connection has to be closed.
std::string Databases::answer(Member& member, Session& session, const std::string& line)
{
    std::string rest = line;
    const std::string word = takeWord(rest);
    if (word == "STARTUP" && !session.isOpen)
        return open(member, session, rest);
    if (word != "QUERY" || !session.isOpen)
        return {};
    const std::string id = takeWord(rest);
    std::string result = run(member, session, id, rest);
    const std::lock_guard lock(m_mutex);
    return result + ready(session);
}

std::string Databases::open(Member& member, Session& session, const std::string& line)
{
    std::string rest = line;
    const std::string service = takeWord(rest);
    session.customer = takeWord(rest);
    if (service != m_settings.service || rest != member.id)
        return error("WRONGNODE");
    if (!occupySlot(member, m_settings.opening))
        return error("BUSY");
    session.isOpen = true;
    const std::lock_guard lock(m_mutex);
    return ready(session);
}

/// Returns false if the queue for the slots is full.
bool Databases::occupySlot(Member& member, milliseconds time)
{
    {
        std::unique_lock lock(m_mutex);
        if (member.busy >= m_settings.slots && member.waiting >= m_settings.queue)
            return false;
        ++member.waiting;
        m_slotFreed.wait(lock, [&] { return member.busy < m_settings.slots; });
        --member.waiting;
        ++member.busy;
    }
    std::this_thread::sleep_for(time);
    const std::lock_guard lock(m_mutex);
    --member.busy;
    m_slotFreed.notify_all();
    return true;
}

std::string Databases::begin(Member& member, Session& session, bool isReadOnly)
{
    const std::lock_guard lock(m_mutex);
    if (!isReadOnly && m_primary != member.id)
        return error("READONLY");
    session.state = 'T';
    session.isReadOnly = isReadOnly;
    session.hasWritten = false;
    return completed;
}

std::string Databases::status(const Member& member) const
{
    const std::string position = std::to_string(m_term) + "." + std::to_string(m_position);
    return std::string("DATAROW ") + (m_primary == member.id ? "primary " : "replica ")
        + std::to_string(m_term) + " " + position + " 0 0 0 1\r\n" + completed;
}

std::string Databases::run(Member& member, Session& session, const std::string& id, std::string text)
{
    constexpr std::string_view prefix = "AFTERLSN ";
    if (text.starts_with(prefix)) {
        takeWord(text);
        takeWord(text);
    }
    if (id != "-")
        return runStatement(member, session, id, text);
    const std::string verb = takeWord(text);
    if (verb == "BEGIN")
        return begin(member, session, text == "READ");
    if (verb == "ROLLBACK") {
        session.state = 'I';
        return completed;
    }
    if (verb == "PREPARE") {
        const std::string name = takeWord(text);
        session.prepared[name] = text.starts_with("WRITE");
        return completed;
    }
    if (verb == "RESET")
        session.prepared.clear();
    if (verb == "RESET" || verb == "SET")
        return completed;
    const std::lock_guard lock(m_mutex);
    return verb == "STATUS" || verb == "STEPDOWN" ? status(member) : error("MALFORMED");
}

std::string Databases::runStatement(
    Member& member, Session& session, const std::string& id, const std::string& text)
{
    m_observer({ member.id, session.customer, id, text, {} });
    const auto finish = [&](std::string result) {
        m_observer({ member.id, session.customer, id, text, result });
        return result;
    };
    std::string rest = text;
    const std::string verb = takeWord(rest);
    bool isWrite = verb == "WRITE";
    if (verb == "EXECUTE") {
        const auto prepared = session.prepared.find(takeWord(rest));
        if (prepared == session.prepared.end())
            return finish(error("NOSTMT"));
        isWrite = prepared->second;
    }
    if (!occupySlot(member, m_settings.work))
        return finish(error("BUSY"));
    session.isAnswerLost = m_areAnswersLost && ++m_runStatements % m_settings.lostAnswerInterval == 0;
    const std::lock_guard lock(m_mutex);
    const std::string receipt = "COMPLETE receipt-" + id + "\r\n";
    const bool needsPrimary = isWrite || (session.state == 'T' && !session.isReadOnly);
    if (verb == "COMMIT") {
        session.state = 'I';
        if (session.hasWritten && m_primary != member.id)
            return finish(error("READONLY"));
        m_position += session.hasWritten ? 1 : 0;
        return finish(receipt);
    }
    if (needsPrimary && m_primary != member.id) {
        session.state = session.state == 'T' ? 'E' : 'I';
        return finish(error("READONLY"));
    }
    const std::string item = takeWord(rest);
    if (!isWrite)
        return finish("DATAROW value-" + std::to_string(m_items[item]) + "\r\n" + receipt);
    m_items[item] = rest.size();
    session.hasWritten = true;
    m_position += session.state == 'I' ? 1 : 0;
    return finish(receipt);
}

}
