#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Standins {

/// A database group that speaks the platform's line protocol: one primary, the others replicas that have
/// every commit at once. Any thread may use it.
class Databases {
public:
    /// `changed` is called when what a database says of itself changed.
    Databases(std::string service, int count, std::function<void(const std::string& id)> statusChanged);
    ~Databases();
    Databases(const Databases&) = delete;
    Databases& operator=(const Databases&) = delete;

    std::vector<std::string> ids() const;
    std::string address(const std::string& id) const;
    bool isPrimary(const std::string& id) const;
    bool isUp(const std::string& id) const;
    std::string primary() const;
    /// Closes all connections and accepts no more.
    void crash(const std::string& id);
    /// Starts a crashed database again at its address, with the log of the others.
    void restart(const std::string& id);
    /// False if the database does not run.
    bool promote(const std::string& id);

    /// How often a write of this data was committed.
    int commits(const std::string& data) const;
    /// Names that connections were opened for.
    std::set<std::string> customers() const;
    /// Statements that broke a rule, for example one outside its transaction.
    std::vector<std::string> protocolViolations() const;

private:
    struct Member {
        std::string id;
        int listener = -1;
        int port = 0;
        bool isUp = true;
        std::thread thread;
        std::set<int> sockets;
    };
    struct Connection {
        bool isOpen = false;
        bool isInTransaction = false;
        bool isReadOnly = false;
        bool isFailed = false;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, bool> prepared;
    };

    static void listenAt(Member& member);
    void accept(Member& member);
    void serve(Member& member, int socket);
    std::string processLine(Member& member, Connection& connection, const std::string& line);
    std::string runQuery(Member& member, Connection& connection, const std::string& line);
    std::string runStatement(
        Member& member, Connection& connection, const std::string& id, std::vector<std::string> words);
    std::string ready(const Connection& connection) const;

    std::string m_service;
    std::function<void(const std::string&)> m_statusChanged;
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<std::thread> m_threads;
    std::string m_primary;
    std::uint64_t m_term = 1;
    std::uint64_t m_position = 0;
    std::map<std::string, std::string> m_items;
    std::map<std::string, int> m_commits;
    std::set<std::string> m_customers;
    std::vector<std::string> m_protocolViolations;
    std::atomic<bool> m_isStopping = false;
};

}
