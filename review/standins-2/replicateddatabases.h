#pragma once

#include "net.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Review2 {

/// Stand-in for the three databases of a service. Each has its own log; with `syncReplicas` 1, a write is
/// acknowledged once one replica has received it. Consumers send single reads and writes only. Thread-safe.
class ReplicatedDatabases {
public:
    /// A read of a consumer and what the log of its database held when it ran.
    struct Read {
        std::string id;
        std::string database;
        std::set<std::string> log;
    };

    /// `roleChanged` is called after the role of a database has changed.
    ReplicatedDatabases(
        std::string service, int syncReplicas, std::function<void(const std::string& id)> roleChanged);

    std::vector<std::string> ids() const;
    /// IP:PORT
    std::string address(const std::string& id) const;
    bool isPrimary(const std::string& id) const;
    std::string primary() const;
    /// Lets the database lead the next term, a few hundred ms later. Returns false if it does not run.
    bool promote(const std::string& id);
    /// Ends the database's process: its connections are closed, and it accepts none.
    void crash(const std::string& id);
    /// Starts a crashed database again, with its log and as a replica.
    void restart(const std::string& id);
    /// From now on, the database answers nothing and is reached by nobody. Its connections are not closed.
    void goDark(const std::string& id);
    /// Whether the replica receives nothing from the primary.
    void setDeaf(const std::string& id, bool isDeaf);
    /// Ids of the writes in the database's log.
    std::set<std::string> log(const std::string& id) const;
    std::vector<Read> reads() const;

private:
    struct Entry {
        std::uint64_t term = 0;
        std::string id;

        bool operator==(const Entry&) const = default;
    };
    struct Member {
        std::string id;
        std::uint16_t port = 0;
        int listener = -1;
        bool isUp = true;
        bool isDeaf = false;
        bool isDark = false;
        std::set<int> sockets;
        std::vector<Entry> log;
    };

    struct Session {
        bool isOpen = false;
        char state = 'I';
    };

    Member& member(const std::string& id) const;
    void accept(Member& member);
    void serve(Member& member, int socket);
    void replicate();
    void lead(Member& member);
    void listen(Member& member);
    std::string answer(Member& member, Session& session, const std::string& line);
    std::string run(Member& member, Session& session, const std::string& id, const std::string& text);
    std::string read(Member& member, const std::string& id);
    std::string write(Member& member, const std::string& id);
    static std::string position(const Member& member);

    std::string m_service;
    int m_syncReplicas;
    std::function<void(const std::string&)> m_roleChanged;
    std::vector<std::unique_ptr<Member>> m_members;
    mutable std::mutex m_mutex;
    std::condition_variable m_received;
    std::string m_primary;
    /// The database that is about to lead; empty if none is.
    std::string m_promoted;
    std::uint64_t m_term = 1;
    std::vector<Read> m_reads;
};

}
