#pragma once

#include "core/model/logposition.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Http {
class Connection;
struct Response;
}

namespace Database {

enum class ReplyStatus : std::uint8_t {
    Done,
    /// The request did not reach the database.
    NotSent,
    /// The database rejected the term or is not the primary; nothing was changed.
    StaleTerm,
    TooManyConnections,
    /// The database rejected the statement; nothing was changed.
    StatementFailed,
    /// The transaction no longer exists; it was rolled back.
    TransactionUnknown,
    /// Unknown outcome: the request may have run.
    NoAnswer,
};

enum class UpstreamRole : std::uint8_t {
    Replica,
    Primary,
};

/// The state that a member of a group reports. Fields that are missing in the response have their defaults.
struct UpstreamStatus {
    /// The highest term that the member has accepted; it rejects calls with lower terms.
    std::uint64_t promisedTerm = 0;
    /// The last entry of the member's log.
    Model::LogPosition last;
    UpstreamRole role = UpstreamRole::Replica;
};

struct StatusReply {
    ReplyStatus status = ReplyStatus::NotSent;
    UpstreamStatus value;
};

struct Statement {
    std::string sql;
    /// JSON array.
    std::string params = "[]";
    bool isWrite = false;
    /// Idempotency key; may be empty.
    std::string requestId;
    bool isInTransaction = false;
};

struct StatementReply {
    ReplyStatus status = ReplyStatus::NotSent;
    /// The last log entry of the database after the statement; for a write, the entry of the write.
    Model::LogPosition position;
    /// JSON document for the caller.
    std::string result;
    std::string message;
};

/// A member of the group of which an upstream becomes the primary.
struct GroupMember {
    std::string name;
    /// Of the form IP:PORT.
    std::string address;
};

/// One connection to one upstream. It is closed if a request receives no complete response, so that a late
/// response is never taken for the response to another request. Used by one thread at a time, except for
/// `abort`. Each call blocks for at most its `timeout`.
class UpstreamClient {
public:
    /// `address` has the form IP:PORT.
    explicit UpstreamClient(const std::string& address);
    ~UpstreamClient();

    /// Opens the connection if it is not open, and requests the status.
    StatusReply open(std::chrono::milliseconds timeout);
    /// Requests the status on the open connection; does not open one.
    StatusReply ping(std::chrono::milliseconds timeout);
    /// Returns the last entry of the upstream, which waits for at most `wait` until it is at least `atLeast`.
    StatusReply awaitPosition(
        Model::LogPosition atLeast, std::chrono::milliseconds wait, std::chrono::milliseconds timeout);

    /// Makes the upstream reject all terms below `term`. It stops being the primary and rolls back all
    /// transactions.
    StatusReply fence(std::uint64_t term, std::chrono::milliseconds timeout);
    /// Makes the upstream the primary of the group in `term`, to which it must have been fenced.
    StatusReply promote(
        std::uint64_t term, const std::vector<GroupMember>& members, std::chrono::milliseconds timeout);
    /// Makes the upstream a replica that replicates from the primary of `term` at `primaryAddress`.
    StatusReply follow(
        std::uint64_t term, const std::string& primaryAddress, std::chrono::milliseconds timeout);

    StatementReply execute(std::uint64_t term, const Statement& statement, const std::string& traceparent,
        std::chrono::milliseconds timeout);
    /// Begins a transaction on this connection. The database rolls it back after `ttl` without a statement.
    StatementReply begin(
        std::uint64_t term, std::chrono::milliseconds ttl, std::chrono::milliseconds timeout);
    /// Commits the transaction that `begin` opened on this connection. A fence rolls back all transactions,
    /// so a commit never takes effect in a term other than that of its `begin`.
    StatementReply commit(const std::string& requestId, std::chrono::milliseconds timeout);
    StatementReply rollback(std::chrono::milliseconds timeout);

    void close();
    /// Makes a call that runs on another thread fail at once; it returns `NoAnswer` if part of its request
    /// was sent. Any thread may call it.
    void abort();

private:
    StatusReply requestStatus(
        const std::string& path, const std::string& body, std::chrono::milliseconds timeout);
    StatementReply requestStatement(const std::string& path, const std::string& body,
        const std::string& traceparent, std::chrono::milliseconds timeout);

    std::unique_ptr<Http::Connection> m_connection;
};

}
