#pragma once

#include "record.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/// A statement of a consumer at a database.
struct RunStatement {
    std::string database;
    std::string id;
    std::string text;
    /// The session values of the connection at that time.
    std::map<std::string, std::string> values;
};

/// One commit in a database's log, acknowledged or not.
struct LogEntry {
    std::uint64_t term = 0;
    /// Items and their data.
    std::vector<std::pair<std::string, std::string>> writes;
};

/// Stand-in for a service of one primary and its replicas, as the pages describe databases. Each database has
/// its own log. The data of an item extends to the end of the line. Thread-safe.
class Databases {
public:
    struct Settings {
        std::string service = "ledger";
        std::vector<std::string> zones = { "north", "east", "south" };
        int syncReplicas = 0;
        std::chrono::milliseconds promoteTime { 300 };
        /// How long a statement runs.
        std::function<std::chrono::milliseconds(const std::string& text)> workTime;
    };
    /// Called with the id of a database whose entry in the store has to change.
    using StatusHook = std::function<void(const std::string& id)>;

    Databases(Settings settings, Record& record, StatusHook statusChanged);
    ~Databases();
    Databases(const Databases&) = delete;
    Databases& operator=(const Databases&) = delete;

    std::vector<std::string> ids() const;
    /// Content of the database's entry in the store; empty if it does not run.
    std::string entry(const std::string& id) const;
    std::string primary() const;

    /// Kills the database: its connections break, and it accepts no new ones.
    void crash(const std::string& id);
    /// The database announces that it shuts down soon.
    void drain(const std::string& id);
    /// While a replica is deaf, it receives nothing from the primary.
    void setDeaf(const std::string& id, bool isDeaf);
    /// From now on, the database fails this share of its requests, whatever they are.
    void setFailing(const std::string& id, double share);
    /// Starts to make the database the primary. Returns false if it does not run.
    bool promote(const std::string& id);

    /// The statements of consumers that a database has started to run.
    std::vector<RunStatement> runStatements() const;
    /// The statements of consumers that have reached a database.
    std::vector<RunStatement> arrivedStatements() const;
    std::vector<LogEntry> log(const std::string& id) const;

private:
    struct Member {
        std::string id;
        std::string zone;
        int listener = -1;
        int port = 0;
        bool isUp = true;
        bool isDraining = false;
        bool isDeaf = false;
        double failingShare = 0;
        std::uint64_t term = 1;
        std::vector<LogEntry> log;
        std::set<int> sockets;
        std::thread thread;
    };
    enum class Transaction : std::uint8_t { None, Open, ReadOnly, Failed };
    struct Connection {
        bool isOpen = false;
        std::string tenant;
        Transaction transaction = Transaction::None;
        /// Term in which a plain transaction was begun.
        std::uint64_t term = 0;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, std::string> prepared;
        std::map<std::string, std::string> values;
    };

    Member& member(const std::string& id) const;
    static void listenOn(Member& member);
    void accept(Member& member);
    void serve(Member& member, int socket);
    std::string process(Member& member, Connection& connection, const std::string& line);
    std::string runOwnCommand(Member& member, Connection& connection, const std::string& text);
    std::string runStatement(
        Member& member, Connection& connection, const std::string& id, const std::string& text);
    std::string commit(
        Member& member, const std::vector<std::pair<std::string, std::string>>& writes, std::uint64_t term);
    void replicate();
    void completePromotion(const std::string& id);
    std::string ready(const Member& member, const Connection& connection) const;
    std::string latest(const Member& member, const std::string& item) const;

    Settings m_settings;
    Record& m_record;
    StatusHook m_statusChanged;
    mutable std::mutex m_mutex;
    std::condition_variable m_replicated;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<std::thread> m_threads;
    std::string m_primary;
    std::uint64_t m_term = 1;
    std::minstd_rand m_generator { 1 };
    std::vector<RunStatement> m_run;
    std::vector<RunStatement> m_arrived;
    bool m_isStopping = false;
};

}
