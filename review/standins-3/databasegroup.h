#pragma once

#include "record.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Review {

/// Settings of a group of databases.
struct GroupSettings {
    std::string service;
    int databases = 3;
    /// Replicas that must have received a commit before it is acknowledged.
    int syncReplicas = 0;
    /// How far behind the receipt of a commit a replica applies it.
    std::chrono::milliseconds applyDelay { 60 };
    /// From the call of a promotion to the moment when the named database leads.
    std::chrono::milliseconds promoteTime { 1000 };
};

/// Stand-in for a service: one primary and its replicas, each with a log of its own. Its threads run until
/// the process ends. Thread-safe.
class DatabaseGroup {
public:
    struct Hooks {
        /// The entry of a database has changed.
        std::function<void(
            const std::string& id, const std::string& address, bool isPrimary, int incarnation)>
            changed;
        /// The machine that a connection from this local port belongs to; -1 if it is unknown.
        std::function<int(std::uint16_t port)> machineOf;
    };

    DatabaseGroup(GroupSettings settings, Hooks hooks, Record& record);

    /// The first id of a database.
    static std::string idOf(int database) { return "i-" + std::to_string(database); }
    /// Reports the entries of all databases that run and reach the store.
    void registerAll();
    int primary();
    /// Calls of `POST /promote`; false if there is no such database.
    bool promote(const std::string& id);
    /// The database receives nothing from the primary until `isDeaf` is false again.
    void setDeaf(int database, bool isDeaf);
    /// The process of the database ends, with its connections.
    void crash(int database);
    /// A crashed database starts again under its id and holds nothing of before.
    void restartEmpty(int database);
    /// A crashed database comes back with its log, under another id.
    void restartAs(int database, const std::string& id);
    /// The database is cut off from everything, silently, until `isDark` is false again.
    void setDark(int database, bool isDark);
    /// Partitions the database from these machines, silently; an empty set ends it.
    void setCut(int database, std::set<int> machines);
    /// Whether the log of the present primary has this data.
    bool primaryHas(const std::string& data);
    /// The newest data in the log of a database.
    std::string logEnd(int database);
    int promotions();

private:
    struct Entry {
        std::uint64_t term = 0;
        std::uint64_t number = 0;
        std::string item;
        std::string data;
        std::chrono::steady_clock::time_point at;
    };
    struct Database {
        std::string id;
        int listener = -1;
        std::uint16_t port = 0;
        std::vector<Entry> log;
        bool isDeaf = false;
        bool isPaused = false;
        bool isDown = false;
        bool isDark = false;
        /// The newest term that it knows of.
        std::uint64_t knownTerm = 1;
        /// Counts the starts of the process.
        int incarnation = 1;
        std::set<int> sockets;
        std::set<int> cutFrom;
    };
    /// State of a connection.
    struct Connection {
        int database = 0;
        int incarnation = 0;
        int machine = -1;
        bool isOpen = false;
        bool isInTransaction = false;
        bool isReadOnly = false;
        bool hasFailed = false;
        std::vector<std::pair<std::string, std::string>> writes;
    };
    using Lock = std::unique_lock<std::mutex>;

    void accept(int database);
    void serve(int database, int incarnation, int socket);
    void awaitPath(const Connection& connection);
    std::string handle(Connection& connection, const std::string& line);
    std::string query(
        Connection& connection, const std::string& id, std::vector<std::string> words, Lock& lock);
    std::string statement(
        Connection& connection, const std::string& id, const std::vector<std::string>& words, Lock& lock);
    std::string command(Connection& connection, const std::vector<std::string>& words, Lock& lock);
    std::string commit(Connection& connection, const std::string& id,
        const std::vector<std::pair<std::string, std::string>>& writes, Lock& lock);
    bool awaitReplicas(const Connection& connection, std::uint64_t number, Lock& lock);
    bool hasEnded(const Connection& connection) const;
    void replicate();
    bool isConnected(int database) const;
    void takeLead(int database);
    std::size_t applied(int database) const;
    std::string position(int database) const;
    std::string receivedPosition(int database) const;
    std::string ready(const Connection& connection) const;
    bool lacks(int database, const std::string& wanted) const;
    std::string read(int database, const std::string& item) const;
    void reportEntry(int database);
    const std::string& presentId(int database) const;

    GroupSettings m_settings;
    Hooks m_hooks;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Database> m_databases;
    /// -1 while no database leads.
    int m_primary = 0;
    std::uint64_t m_term = 1;
    int m_promotions = 0;
};

}
