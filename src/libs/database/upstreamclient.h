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
    /// The database refused the term; nothing was changed.
    StaleTerm,
    TooManyConnections,
    /// The database refused the statement; nothing was changed.
    StatementFailed,
    /// The transaction does not exist any more; it was rolled back.
    TransactionUnknown,
    /// The request may have run.
    NoAnswer,
};

enum class UpstreamRole : std::uint8_t {
    Replica,
    Primary,
};

/// The state of one member of a group as it reports it.
struct UpstreamStatus {
    std::uint64_t promisedTerm = 0;
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
    /// Idempotency key; empty for none.
    std::string requestId;
    bool isInTransaction = false;
};

struct StatementReply {
    ReplyStatus status = ReplyStatus::NotSent;
    /// The last entry of the database after the statement; for a write its own entry.
    Model::LogPosition position;
    /// JSON document for the caller.
    std::string result;
    std::string message;
};

struct GroupMember {
    std::string name;
    /// IP:PORT
    std::string address;
};

/// One connection to one upstream. A statement that got no whole answer closes it, so a late answer never
/// reaches another request. Used by one thread at a time; calls block up to their time limit.
class UpstreamClient {
public:
    /// `address` has the form IP:PORT.
    explicit UpstreamClient(const std::string& address);
    ~UpstreamClient();

    /// Opens the connection if it is not open, and asks for the status.
    StatusReply open(std::chrono::milliseconds timeout);
    /// Asks for the status on the open connection only.
    StatusReply ping(std::chrono::milliseconds timeout);
    /// Waits until the last entry is at least `atLeast`, up to `wait`.
    StatusReply awaitPosition(
        Model::LogPosition atLeast, std::chrono::milliseconds wait, std::chrono::milliseconds timeout);

    StatusReply fence(std::uint64_t term, std::chrono::milliseconds timeout);
    StatusReply promote(
        std::uint64_t term, const std::vector<GroupMember>& members, std::chrono::milliseconds timeout);
    StatusReply follow(
        std::uint64_t term, const std::string& primaryAddress, std::chrono::milliseconds timeout);

    StatementReply execute(std::uint64_t term, const Statement& statement, const std::string& traceparent,
        std::chrono::milliseconds timeout);
    /// `ttl`: the database rolls the transaction back after this time without a statement.
    StatementReply begin(
        std::uint64_t term, std::chrono::milliseconds ttl, std::chrono::milliseconds timeout);
    /// Ends the transaction that `begin` opened on this connection. A fence rolls all transactions back, so a
    /// commit never takes effect in another term than its begin.
    StatementReply commit(const std::string& requestId, std::chrono::milliseconds timeout);
    StatementReply rollback(std::chrono::milliseconds timeout);

    void close();
    /// Ends a call that runs on another thread; it then gets no answer. Any thread may call it.
    void abort();

private:
    StatusReply requestStatus(
        const std::string& path, const std::string& body, std::chrono::milliseconds timeout);
    StatementReply requestStatement(const std::string& path, const std::string& body,
        const std::string& traceparent, std::chrono::milliseconds timeout);

    std::unique_ptr<Http::Connection> m_connection;
};

}
