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
    /// IP:PORT that this member listens on, and under which the peers know it.
    std::string address;
    /// Address of the member that starts as primary; if empty, the group starts without a primary.
    std::string initialPrimary;
    std::vector<std::string> peers;
    std::size_t connectionLimit = 15;
    /// Number of statements that execute concurrently.
    int slots = 2;
    /// Delay of the first request on a connection.
    int setupMs = 10;
    /// Execution time of each statement and commit.
    int serviceMs = 0;
    /// Age at which this member receives an entry from the primary.
    int lagMs = 0;
    /// Time for which a repeated request id is recognised.
    std::int64_t retentionMs = 600000;
};

/// One member of a database group; its protocol is specified in docs/design.md, section 3. Thread-safe.
class Member {
public:
    explicit Member(MemberOptions options);

    HttpResponse handle(const HttpRequest& request);
    /// Removes the connection from the count and rolls its transaction back.
    void connectionClosed(ConnectionId connection);
    /// Pulls entries from the followed primary, and truncates the log where it differs. Does not return.
    void replicate();

private:
    using Clock = std::chrono::steady_clock;
    using Lock = std::unique_lock<std::mutex>;

    struct Transaction {
        /// Idle time after which the transaction expires.
        std::chrono::milliseconds ttl { 0 };
        Clock::time_point lastUsed;
        std::vector<Statement> statements;
    };

    struct ReplicationSource {
        std::string primary;
        std::uint64_t term = 0;

        bool operator==(const ReplicationSource&) const = default;
    };

    /// Counts a new connection; false if the connection limit is reached.
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

    /// A response with status 409, the error code and the state of the log.
    HttpResponse refuse(const std::string& error) const;
    /// The promised term, and the term and position of the last entry.
    Json lastEntry() const;
    bool hasCurrentTerm(const Json& body) const
    {
        return body.at("term").get<std::uint64_t>() == m_promisedTerm;
    }
    /// The open transaction of a connection; null if it has none or it has expired.
    Transaction* openTransaction(ConnectionId connection);
    /// Waits for a free execution slot, then occupies it for the service time plus `extraMs`.
    void occupySlot(int extraMs, Lock& lock);
    /// Appends the write to the log. If its request id is in the log already, returns the result of that
    /// entry.
    HttpResponse appendWrite(std::vector<Statement> statements, const Json& result, const Json& body);
    void waitWhileFrozen(Lock& lock);
    /// Processes a response of the primary to a request for the entries after position `after`. Discards it
    /// if the log or the followed primary has changed in the meantime.
    void applyEntries(const ReplicationSource& source, std::uint64_t after, const Json& answer);

    MemberOptions m_options;
    mutable std::mutex m_mutex;
    /// Notified of changes of the log, the role, the free slots and the injected faults.
    std::condition_variable m_changed;
    EntryLog m_log;
    /// The highest term accepted; statements of other terms are refused.
    std::uint64_t m_promisedTerm = 0;
    bool m_isPrimary = false;
    /// Address of the primary from which entries are pulled; empty if there is none.
    std::string m_following;
    std::set<ConnectionId> m_connections;
    std::map<ConnectionId, Transaction> m_transactions;
    int m_busySlots = 0;
    /// Injected fault: no request except those for control is answered, and nothing is replicated.
    bool m_isFrozen = false;
    /// Injected fault: nothing is replicated from or to other members; hosts are still served.
    bool m_isPartitioned = false;
    /// Text whose occurrences in requests are counted, so that tests detect data that must not get here.
    std::string m_watchedText;

    std::size_t m_peakConnections = 0;
    std::uint64_t m_refusedConnections = 0;
    std::uint64_t m_openedConnections = 0;
    std::uint64_t m_statements = 0;
    std::uint64_t m_rolledBack = 0;
    /// Statements outside of a transaction, and begins, on a connection with an open transaction.
    std::uint64_t m_mixedStatements = 0;
    std::uint64_t m_watchedRequests = 0;
};

}
