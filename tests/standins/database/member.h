#pragma once

#include "database/entrylog.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace Standins {

struct MemberOptions {
    std::string name;
    /// Address under which the peers know this member.
    std::string address;
    /// Empty: the group starts without a primary.
    std::string initialPrimary;
    std::vector<std::string> peers;
    std::size_t connectionLimit = 15;
    int slots = 2;
    int setupMs = 10;
    int serviceMs = 0;
    int lagMs = 0;
    std::int64_t retentionMs = 600000;
};

/// One member of a database group: docs/design.md, section 3. Any thread may call it.
class Member {
public:
    explicit Member(MemberOptions options);

    HttpResponse handle(const HttpRequest& request);
    /// Frees the connection and rolls its transaction back.
    void connectionClosed(ConnectionId connection);
    /// Pulls entries from the primary; does not return.
    void replicate();

private:
    using Clock = std::chrono::steady_clock;
    using Lock = std::unique_lock<std::mutex>;

    struct Transaction {
        std::chrono::milliseconds ttl { 0 };
        Clock::time_point lastUsed;
        std::vector<Statement> statements;
    };

    struct ReplicationSource {
        std::string primary;
        std::uint64_t term = 0;

        bool operator==(const ReplicationSource&) const = default;
    };

    bool admit(ConnectionId connection);
    HttpResponse dispatch(const HttpRequest& request, Lock& lock);
    HttpResponse status() const;
    HttpResponse position(const HttpRequest& request, Lock& lock);
    HttpResponse fence(const Json& body);
    HttpResponse promote(const Json& body);
    HttpResponse follow(const Json& body);
    HttpResponse execute(ConnectionId connection, const Json& body, Lock& lock);
    HttpResponse begin(ConnectionId connection, const Json& body);
    HttpResponse commit(ConnectionId connection, const Json& body, Lock& lock);
    HttpResponse rollback(ConnectionId connection);
    HttpResponse sendEntries(const HttpRequest& request, Lock& lock);
    HttpResponse control(const HttpRequest& request);

    HttpResponse refuse(const std::string& error) const;
    Json lastEntry() const;
    bool hasCurrentTerm(const Json& body) const
    {
        return body.at("term").get<std::uint64_t>() == m_promisedTerm;
    }
    /// The open transaction of a connection; null if it has none or it has expired.
    Transaction* openTransaction(ConnectionId connection);
    /// Occupies an execution slot for the service time and `extraMs`.
    void occupySlot(int extraMs, Lock& lock);
    HttpResponse appendWrite(std::vector<Statement> statements, const Json& result, const Json& body);
    void waitWhileFrozen(Lock& lock);
    void applyEntries(const ReplicationSource& source, std::uint64_t after, const Json& answer);

    MemberOptions m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    EntryLog m_log;
    std::uint64_t m_promisedTerm = 0;
    bool m_isPrimary = false;
    std::string m_following;
    std::set<ConnectionId> m_connections;
    std::map<ConnectionId, Transaction> m_transactions;
    int m_busySlots = 0;
    bool m_isFrozen = false;
    bool m_isPartitioned = false;
    std::string m_watchedText;

    std::size_t m_peakConnections = 0;
    std::uint64_t m_refusedConnections = 0;
    std::uint64_t m_openedConnections = 0;
    std::uint64_t m_statements = 0;
    std::uint64_t m_rolledBack = 0;
    std::uint64_t m_mixedStatements = 0;
    std::uint64_t m_watchedRequests = 0;
};

}
