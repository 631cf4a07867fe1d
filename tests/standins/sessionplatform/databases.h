#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
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

/// Stand-in for a database group that speaks the platform's line protocol: one primary, and replicas without
/// lag, since all databases share their items. Thread-safe.
class Databases {
public:
    /// Starts `count` databases, `db-0` (the primary), `db-1` and so on. `statusChanged` is called with the
    /// id of each database whose state or role may have changed.
    Databases(std::string service, int count, std::function<void(const std::string& id)> statusChanged);
    ~Databases();
    Databases(const Databases&) = delete;
    Databases& operator=(const Databases&) = delete;

    std::vector<std::string> ids() const;
    /// IP:PORT; empty if the id is unknown.
    std::string address(const std::string& id) const;
    bool isPrimary(const std::string& id) const;
    bool isUp(const std::string& id) const;
    std::string primary() const;
    /// Closes all connections of the database and accepts none until it is restarted.
    void crash(const std::string& id);
    /// Starts a crashed database again at its address, with all commits of the others.
    void restart(const std::string& id);
    /// Makes the database the primary, in a new term unless it is the primary already. Returns false if it
    /// does not run.
    bool promote(const std::string& id);
    /// Time that each later promotion takes, in which the previous primary still leads; none at first.
    void setPromotionTime(std::chrono::milliseconds time) { m_promotionTime = time; }
    /// Number of promotions that have begun, also those that are not over yet.
    int promotionsBegun() const { return m_promotionsBegun; }
    /// Number of commits that were acknowledged, but not in the log of the database that was promoted next.
    int lostCommits() const;

    /// From now on, a single write is acknowledged only once a replica has received it.
    void setSynchronous();
    /// While set, single writes get no answer, as if they waited for a replica; all else is answered.
    void setWritesWaiting(bool areWaiting);

    /// From now on the database receives nothing from the primary, and reports the end of the log that it
    /// has.
    void setDeaf(const std::string& id);
    /// From now on, one of `period` answers to reads of callers is lost; 0 for none.
    void loseAnswersToReads(int period) { m_lostAnswersPeriod = period; }
    /// Time that each later statement of a caller takes; none at first.
    void setStatementTime(std::chrono::milliseconds time) { m_statementTime = time; }
    /// Number of rows that each later read returns, all with the same content; 1 at first.
    void setRowsPerRead(int rows) { m_rowsPerRead = rows; }

    /// Number of commits of this data.
    int commits(const std::string& data) const;
    /// Names of the customers for which connections were opened.
    std::set<std::string> customers() const;
    /// Received lines that violate the protocol, for example a BEGIN within a transaction.
    std::vector<std::string> protocolViolations() const;

private:
    /// Position in the log.
    struct LogEnd {
        std::uint64_t term = 1;
        std::uint64_t number = 0;
    };
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
        /// A statement of the transaction failed.
        bool isFailed = false;
        /// Items and their data that the transaction will write.
        std::vector<std::pair<std::string, std::string>> writes;
        /// Prepared statements by name; true for those that write.
        std::map<std::string, bool> prepared;
    };

    static void listenAt(Member& member);
    void waitWithWrite(const Member& member);
    bool isReceived() const;
    void lead(const std::string& id);
    std::string status(const Member& member) const;
    bool isAnswerLost(const std::string& line);
    void accept(Member& member);
    void serve(Member& member, int socket);
    std::string processLine(Member& member, Connection& connection, const std::string& line);
    std::string runQuery(Member& member, Connection& connection, const std::string& line);
    std::string runStatement(
        Member& member, Connection& connection, const std::string& id, std::vector<std::string> words);
    LogEnd logEnd(const std::string& id) const;
    std::string position(const Member& member) const;
    std::string ready(const Member& member, const Connection& connection) const;

    std::string m_service;
    std::function<void(const std::string&)> m_statusChanged;
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<std::thread> m_threads;
    std::string m_primary;
    /// End of the primary's log.
    LogEnd m_end;
    /// Ends of the logs of databases that receive nothing.
    std::map<std::string, LogEnd> m_deaf;
    /// The paused databases, with the end of their log and the term of the pause.
    struct Pause {
        LogEnd end;
        std::uint64_t term = 0;
    };
    std::map<std::string, Pause> m_paused;
    bool m_isSynchronous = false;
    std::uint64_t m_lostCommits = 0;
    std::atomic<int> m_promotionsBegun = 0;
    std::atomic<std::chrono::milliseconds> m_promotionTime = std::chrono::milliseconds(0);
    std::map<std::string, std::string> m_items;
    std::map<std::string, int> m_commits;
    std::set<std::string> m_customers;
    std::vector<std::string> m_protocolViolations;
    bool m_areWritesWaiting = false;
    std::condition_variable m_writesReleased;
    std::atomic<int> m_rowsPerRead = 1;
    std::atomic<int> m_lostAnswersPeriod = 0;
    std::atomic<int> m_readAnswers = 0;
    std::atomic<std::chrono::milliseconds> m_statementTime = std::chrono::milliseconds(0);
    std::atomic<bool> m_isStopping = false;
};

}
