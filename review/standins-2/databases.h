#pragma once

#include "net.h"
#include "record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Review2 {

/// How the databases of a stand-in work.
struct DatabaseSettings {
    std::string service;
    int count = 3;
    int slots = 2;
    /// Statements that wait for a slot; further ones are answered `BUSY`.
    int queue = 16;
    /// Time of a new connection, which occupies a slot.
    milliseconds opening { 12 };
    /// Time that a read, a write or a commit occupies a slot.
    milliseconds work { 5 };
    /// While answers are lost, one of so many statements of consumers that run gets no answer. Its connection
    /// goes on.
    int lostAnswerInterval = 5;
};

/// Stand-in for the databases of a service, which speak the platform's line protocol. The replicas have no
/// lag: all databases share one log. Thread-safe.
class Databases {
public:
    /// A statement of a consumer that has arrived or was answered at a database.
    struct Event {
        std::string database;
        std::string customer;
        std::string id;
        std::string text;
        /// Empty while the statement has not been answered.
        std::string answer;
    };
    using Observer = std::function<void(const Event&)>;

    Databases(DatabaseSettings settings, Observer observer);

    std::vector<std::string> ids() const;
    /// IP:PORT
    std::string address(const std::string& id) const;
    bool isPrimary(const std::string& id) const;
    bool promote(const std::string& id);
    /// Whether the answers of some statements are lost from now on.
    void setAnswersLost(bool areLost) { m_areAnswersLost = areLost; }

private:
    struct Member {
        std::string id;
        std::uint16_t port = 0;
        int listener = -1;
        int busy = 0;
        int waiting = 0;
    };
    struct Session {
        std::string customer;
        bool isOpen = false;
        char state = 'I';
        bool isReadOnly = false;
        bool hasWritten = false;
        bool isAnswerLost = false;
        std::map<std::string, bool> prepared;
    };

    void accept(Member& member);
    void serve(Member& member, int socket);
    std::string answer(Member& member, Session& session, const std::string& line);
    std::string open(Member& member, Session& session, const std::string& line);
    std::string run(Member& member, Session& session, const std::string& id, std::string text);
    std::string runStatement(
        Member& member, Session& session, const std::string& id, const std::string& text);
    std::string begin(Member& member, Session& session, bool isReadOnly);
    std::string status(const Member& member) const;
    bool occupySlot(Member& member, milliseconds time);
    std::string ready(const Session& session) const;

    DatabaseSettings m_settings;
    Observer m_observer;
    std::vector<std::unique_ptr<Member>> m_members;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    std::string m_primary;
    std::uint64_t m_term = 1;
    std::uint64_t m_position = 0;
    std::map<std::string, std::size_t> m_items;
    std::atomic<bool> m_areAnswersLost = false;
    std::atomic<int> m_runStatements = 0;
};

}
