#include "databasegroup.h"

#include "sockets.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr std::chrono::milliseconds replicationCheck { 5 };
    constexpr const char* done = "COMPLETE -\r\n";

    std::vector<std::string> split(const std::string& line)
    {
        std::istringstream stream(line);
        std::vector<std::string> words;
        for (std::string word; stream >> word;)
            words.push_back(word);
        return words;
    }

    std::string error(const std::string& code) { return "ERROR " + code + " refused\r\n"; }

    std::string receipt(const std::string& id) { return "COMPLETE r." + id + "\r\n"; }

    std::pair<std::uint64_t, std::uint64_t> parsePosition(const std::string& text)
    {
        return { std::strtoull(text.c_str(), nullptr, 10),
            std::strtoull(text.c_str() + std::min(text.find('.') + 1, text.size()), nullptr, 10) };
    }

}

DatabaseGroup::DatabaseGroup(GroupSettings settings, Hooks hooks, Record& record)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_record(record)
    , m_databases(static_cast<std::size_t>(m_settings.databases))
{
    for (int i = 0; i < m_settings.databases; ++i) {
        Database& database = m_databases.at(static_cast<std::size_t>(i));
        database.id = idOf(i);
        database.log.push_back({ 1, 1, {}, {}, {} });
        database.listener = listenOnLoopback(database.port);
        std::thread([this, i] { accept(i); }).detach();
    }
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(replicationCheck);
            const Lock lock(m_mutex);
            replicate();
        }
    }).detach();
}

void DatabaseGroup::reportEntry(int database)
{
    const std::string address
        = "127.0.0.1:" + std::to_string(m_databases.at(static_cast<std::size_t>(database)).port);
    m_hooks.changed(presentId(database), address, database == m_primary,
        m_databases.at(static_cast<std::size_t>(database)).incarnation);
}

void DatabaseGroup::registerAll()
{
    const Lock lock(m_mutex);
    for (int i = 0; i < m_settings.databases; ++i) {
        if (isConnected(i))
            reportEntry(i);
    }
}

int DatabaseGroup::primary()
{
    const Lock lock(m_mutex);
    return m_primary;
}

int DatabaseGroup::promotions()
{
    const Lock lock(m_mutex);
    return m_promotions;
}

void DatabaseGroup::setDeaf(int database, bool isDeaf)
{
    const Lock lock(m_mutex);
    m_databases.at(static_cast<std::size_t>(database)).isDeaf = isDeaf;
    m_changed.notify_all();
}

void DatabaseGroup::crash(int database)
{
    const Lock lock(m_mutex);
    Database& target = m_databases.at(static_cast<std::size_t>(database));
    target.isDown = true;
    ++target.incarnation;
    ::shutdown(target.listener, SHUT_RDWR);
    for (const int socket : target.sockets)
        ::shutdown(socket, SHUT_RDWR);
    m_changed.notify_all();
}

void DatabaseGroup::restartEmpty(int database)
{
    const Lock lock(m_mutex);
    Database& target = m_databases.at(static_cast<std::size_t>(database));
    target.log = { Entry {} };
    target.knownTerm = 0;
    target.isDown = false;
    reportEntry(database);
    m_changed.notify_all();
}

void DatabaseGroup::restartAs(int database, const std::string& id)
{
    const Lock lock(m_mutex);
    Database& target = m_databases.at(static_cast<std::size_t>(database));
    target.id = id;
    target.isDown = false;
    reportEntry(database);
    m_changed.notify_all();
}

const std::string& DatabaseGroup::presentId(int database) const
{
    return m_databases.at(static_cast<std::size_t>(database)).id;
}

void DatabaseGroup::setDark(int database, bool isDark)
{
    const Lock lock(m_mutex);
    m_databases.at(static_cast<std::size_t>(database)).isDark = isDark;
    m_changed.notify_all();
}

void DatabaseGroup::setCut(int database, std::set<int> machines)
{
    const Lock lock(m_mutex);
    m_databases.at(static_cast<std::size_t>(database)).cutFrom = std::move(machines);
    m_changed.notify_all();
}

bool DatabaseGroup::primaryHas(const std::string& data)
{
    const Lock lock(m_mutex);
    if (m_primary < 0)
        return false;
    const auto& log = m_databases.at(static_cast<std::size_t>(m_primary)).log;
    return std::ranges::find(log, data, &Entry::data) != log.end();
}

std::string DatabaseGroup::logEnd(int database)
{
    const Lock lock(m_mutex);
    return receivedPosition(database) + " "
        + m_databases.at(static_cast<std::size_t>(database)).log.back().data;
}

bool DatabaseGroup::promote(const std::string& id)
{
    const Lock lock(m_mutex);
    int database = -1;
    for (int i = 0; i < m_settings.databases; ++i) {
        if (presentId(i) == id)
            database = i;
    }
    if (database < 0 || m_databases.at(static_cast<std::size_t>(database)).isDown)
        return false;
    if (database == m_primary)
        return true;
    std::thread([this, database] {
        std::this_thread::sleep_for(m_settings.promoteTime);
        takeLead(database);
    }).detach();
    return true;
}

/// Whether the process runs and is not cut off.
bool DatabaseGroup::isConnected(int database) const
{
    const Database& own = m_databases.at(static_cast<std::size_t>(database));
    return !own.isDown && !own.isDark;
}

/// The database leads the next term with what it has received.
void DatabaseGroup::takeLead(int database)
{
    const Lock lock(m_mutex);
    if (database == m_primary)
        return;
    m_primary = database;
    ++m_term;
    ++m_promotions;
    m_databases.at(static_cast<std::size_t>(database)).knownTerm = m_term;
    for (Database& other : m_databases)
        other.isPaused = false;
    m_record.write(presentId(database) + " leads term " + std::to_string(m_term) + " with the log up to "
        + receivedPosition(database));
    for (int i = 0; i < m_settings.databases; ++i) {
        if (isConnected(i))
            reportEntry(i);
    }
    replicate();
}

/// Gives the primary's log to the replicas that receive. Those that were ahead of it are rolled back.
void DatabaseGroup::replicate()
{
    if (m_primary >= 0 && isConnected(m_primary)) {
        const std::vector<Entry>& log = m_databases.at(static_cast<std::size_t>(m_primary)).log;
        for (int i = 0; i < m_settings.databases; ++i) {
            Database& replica = m_databases.at(static_cast<std::size_t>(i));
            if (i == m_primary || replica.isDeaf || replica.isPaused || !isConnected(i))
                continue;
            std::size_t common = 0;
            while (common < std::min(log.size(), replica.log.size())
                && log[common].number == replica.log[common].number
                && log[common].term == replica.log[common].term)
                ++common;
            replica.knownTerm = m_term;
            replica.log.resize(common);
            for (std::size_t k = common; k < log.size(); ++k) {
                replica.log.push_back(log[k]);
                replica.log.back().at = std::chrono::steady_clock::now();
            }
        }
    }
    m_changed.notify_all();
}

void DatabaseGroup::accept(int database)
{
    Lock lock(m_mutex);
    Database& own = m_databases.at(static_cast<std::size_t>(database));
    while (true) {
        const int listener = own.listener;
        lock.unlock();
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        lock.lock();
        if (socket >= 0 && !own.isDown) {
            own.sockets.insert(socket);
            std::thread([this, database, incarnation = own.incarnation, socket] {
                serve(database, incarnation, socket);
            }).detach();
            continue;
        }
        if (socket >= 0)
            ::close(socket);
        if (!own.isDown)
            continue;
        ::close(own.listener);
        m_changed.wait(lock, [&] { return !own.isDown; });
        own.listener = listenOnLoopback(own.port);
        // Another connection may have the port for a moment.
        while (own.listener < 0) {
            m_changed.wait_for(lock, replicationCheck);
            own.listener = listenOnLoopback(own.port);
        }
    }
}

/// Waits while the connection's machine is partitioned from the database.
void DatabaseGroup::awaitPath(const Connection& connection)
{
    Lock lock(m_mutex);
    const Database& database = m_databases.at(static_cast<std::size_t>(connection.database));
    m_changed.wait(lock, [&] {
        return hasEnded(connection) || (!database.isDark && !database.cutFrom.contains(connection.machine));
    });
}

/// Whether the process that has the connection has ended.
bool DatabaseGroup::hasEnded(const Connection& connection) const
{
    return m_databases.at(static_cast<std::size_t>(connection.database)).incarnation
        != connection.incarnation;
}

void DatabaseGroup::serve(int database, int incarnation, int socket)
{
    Connection connection;
    connection.database = database;
    connection.incarnation = incarnation;
    connection.machine = m_hooks.machineOf(peerPort(socket));
    Input input(socket);
    while (const auto line = input.line()) {
        awaitPath(connection);
        const std::string answer = handle(connection, *line);
        awaitPath(connection);
        if (answer.empty() || !sendAll(socket, answer))
            break;
    }
    const Lock lock(m_mutex);
    m_databases.at(static_cast<std::size_t>(database)).sockets.erase(socket);
    ::close(socket);
}

std::size_t DatabaseGroup::applied(int database) const
{
    const std::vector<Entry>& log = m_databases.at(static_cast<std::size_t>(database)).log;
    std::size_t count = log.size();
    if (database == m_primary)
        return count;
    const auto limit = std::chrono::steady_clock::now() - m_settings.applyDelay;
    while (count > 1 && log[count - 1].at > limit)
        --count;
    return count;
}

std::string DatabaseGroup::position(int database) const
{
    const Entry& last = m_databases.at(static_cast<std::size_t>(database)).log.at(applied(database) - 1);
    // A new primary counts on from its log in its own term.
    const std::uint64_t term = database == m_primary ? m_term : last.term;
    return std::to_string(term) + "." + std::to_string(last.number);
}

std::string DatabaseGroup::receivedPosition(int database) const
{
    const Entry& last = m_databases.at(static_cast<std::size_t>(database)).log.back();
    return std::to_string(last.term) + "." + std::to_string(last.number);
}

std::string DatabaseGroup::ready(const Connection& connection) const
{
    const char* state = connection.hasFailed ? "E" : connection.isInTransaction ? "T" : "I";
    return std::string("READY ") + state + " " + position(connection.database) + "\r\n";
}

bool DatabaseGroup::lacks(int database, const std::string& wanted) const
{
    return parsePosition(position(database)) < parsePosition(wanted);
}

std::string DatabaseGroup::read(int database, const std::string& item) const
{
    const std::vector<Entry>& log = m_databases.at(static_cast<std::size_t>(database)).log;
    for (std::size_t i = applied(database); i > 0; --i) {
        if (log[i - 1].item == item)
            return log[i - 1].data;
    }
    return "none";
}

std::string DatabaseGroup::handle(Connection& connection, const std::string& line)
{
    std::vector<std::string> words = split(line);
    Lock lock(m_mutex);
    if (hasEnded(connection))
        return {};
    if (!connection.isOpen) {
        const bool isRight = words.size() >= 3 && words[0] == "STARTUP" && words[1] == m_settings.service
            && (words.size() < 4 || words[3] == presentId(connection.database));
        connection.isOpen = isRight;
        return isRight ? ready(connection) : error("WRONGNODE");
    }
    if (words.size() < 3 || words[0] != "QUERY")
        return {};
    const std::string id = words[1];
    words.erase(words.begin(), words.begin() + 2);
    const std::string answer = query(connection, id, std::move(words), lock);
    return answer.empty() ? answer : answer + ready(connection);
}

std::string DatabaseGroup::query(
    Connection& connection, const std::string& id, std::vector<std::string> words, Lock& lock)
{
    if (words[0] == "AFTERLSN") {
        if (words.size() < 3 || lacks(connection.database, words[1]))
            return error("LAGGING");
        words.erase(words.begin(), words.begin() + 2);
    }
    if (words[0] == "ROLLBACK") {
        connection = { connection.database, connection.incarnation, connection.machine, true, false, false,
            false, {} };
        return done;
    }
    if (connection.hasFailed && words[0] != "COMMIT")
        return error("MALFORMED");
    const bool isLeading = connection.database == m_primary;
    if (words[0] == "BEGIN") {
        const bool isReadOnly = words.size() > 1;
        if (!isReadOnly && !isLeading)
            return error("READONLY");
        connection.isInTransaction = true;
        connection.isReadOnly = isReadOnly;
        return done;
    }
    if (words[0] == "READ" || words[0] == "WRITE" || words[0] == "COMMIT")
        return statement(connection, id, words, lock);
    return command(connection, words, lock);
}

std::string DatabaseGroup::statement(
    Connection& connection, const std::string& id, const std::vector<std::string>& words, Lock& lock)
{
    const bool isLeading = connection.database == m_primary;
    if (words[0] == "COMMIT") {
        const Connection before = connection;
        connection = { connection.database, connection.incarnation, connection.machine, true, false, false,
            false, {} };
        if (before.hasFailed)
            return error("ABORTED");
        return before.writes.empty() ? receipt(id) : commit(connection, id, before.writes, lock);
    }
    const bool isWrite = words[0] == "WRITE";
    const bool needsLead = isWrite || (connection.isInTransaction && !connection.isReadOnly);
    if (needsLead && !isLeading) {
        connection.hasFailed = connection.isInTransaction;
        return error("READONLY");
    }
    if (!isWrite)
        return "DATAROW " + read(connection.database, words.at(1)) + "\r\n" + receipt(id);
    if (!connection.isInTransaction)
        return commit(connection, id, { { words.at(1), words.at(2) } }, lock);
    connection.writes.emplace_back(words.at(1), words.at(2));
    return receipt(id);
}

std::string DatabaseGroup::commit(Connection& connection, const std::string& id,
    const std::vector<std::pair<std::string, std::string>>& writes, Lock& lock)
{
    const int database = connection.database;
    if (database != m_primary)
        return error("READONLY");
    std::vector<Entry>& log = m_databases.at(static_cast<std::size_t>(database)).log;
    const std::uint64_t number = log.back().number + 1;
    for (const auto& [item, data] : writes) {
        log.push_back({ m_term, number, item, data, std::chrono::steady_clock::now() });
        m_record.write(presentId(database) + " commits " + data + " as " + std::to_string(m_term) + "."
            + std::to_string(number));
    }
    replicate();
    // The lead was lost meanwhile: the answer would say nothing for certain, so the connection ends.
    if (!awaitReplicas(connection, number, lock))
        return {};
    return receipt(id);
}

/// Waits until enough replicas have received the commit. Returns false if the database ended or lost the lead
/// before.
bool DatabaseGroup::awaitReplicas(const Connection& connection, std::uint64_t number, Lock& lock)
{
    const int database = connection.database;
    const std::uint64_t term = m_term;
    const auto received = [&] {
        return std::ranges::count_if(m_databases, [&](const Database& other) {
            return other.log.back().number >= number && other.log.back().term >= term;
        }) - 1;
    };
    m_changed.wait(lock, [&] {
        return hasEnded(connection) || m_primary != database || received() >= m_settings.syncReplicas;
    });
    return !hasEnded(connection) && m_primary == database;
}

std::string DatabaseGroup::command(
    Connection& connection, const std::vector<std::string>& words, Lock& /*lock*/)
{
    if (words[0] == "SET" || words[0] == "RESET")
        return done;
    Database& own = m_databases.at(static_cast<std::size_t>(connection.database));
    const std::uint64_t term = words.size() > 1 ? std::strtoull(words[1].c_str(), nullptr, 10) : 0;
    if (words[0] == "PAUSE" && term > m_term && connection.database != m_primary)
        own.isPaused = true;
    else if (words[0] == "RESUME")
        own.isPaused = false;
    else if (words[0] == "STEPDOWN" && term > m_term && connection.database == m_primary)
        m_primary = -1;
    else if (words[0] != "STATUS" && words[0] != "PAUSE" && words[0] != "STEPDOWN")
        return error("MALFORMED");
    const bool isLeading = connection.database == m_primary;
    m_record.write(presentId(connection.database) + " answers " + words[0] + " with "
        + receivedPosition(connection.database) + " to machine " + std::to_string(connection.machine));
    return "DATAROW " + std::string(isLeading ? "primary " : "replica ") + std::to_string(own.knownTerm) + " "
        + receivedPosition(connection.database) + " 0 0 0 1\r\n" + done;
}

}
