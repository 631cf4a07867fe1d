#pragma once

#include "database/statement.h"

#include <chrono>

namespace Standins {

/// One entry of a member's replicated log. Its position is its index in the log plus one.
struct LogEntry {
    std::uint64_t term = 0;
    /// Wall-clock time at which the primary appended the entry, in ms since the Unix epoch.
    std::int64_t createdMs = 0;
    /// The request id of the write; empty if the write has none.
    std::string requestId;
    /// The statements of the write or transaction; empty for the entry that starts a term.
    std::vector<Statement> statements;
    /// The result of a single statement; null for transactions and entries without statements.
    Json result;

    Json toJson() const;
    static LogEntry fromJson(const Json& json);
};

/// Milliseconds since the Unix epoch.
std::int64_t wallClockMs();

/// The log of a member, with the table and the request-id index that result from replaying it. Not
/// thread-safe.
class EntryLog {
public:
    const std::vector<LogEntry>& entries() const { return m_entries; }
    const Table& table() const { return m_table; }
    std::uint64_t lastPosition() const { return m_entries.size(); }
    std::uint64_t lastTerm() const { return m_entries.empty() ? 0 : m_entries.back().term; }
    /// The term of the entry at a position; 0 for position 0 and positions after the last entry.
    std::uint64_t termAt(std::uint64_t position) const;

    /// Appends the entry and applies its statements to the table.
    void append(LogEntry entry);
    /// Removes all entries after `position` and rebuilds the table and the request-id index from the others.
    void truncate(std::uint64_t position);
    /// The position of the entry with this request id; 0 if there is none, or if the entry is older than
    /// `retentionMs`.
    std::uint64_t positionOf(const std::string& requestId, std::int64_t retentionMs) const;
    /// The highest position up to `position` whose entry has a term of at most `term`; 0 if there is none. Up
    /// to here, the log can agree with the log of a replica whose last entry is of `term` at `position`.
    std::uint64_t commonPosition(std::uint64_t term, std::uint64_t position) const;

private:
    /// Applies the entry at `position` to the table and the request-id index.
    void apply(std::uint64_t position);

    std::vector<LogEntry> m_entries;
    Table m_table;
    std::unordered_map<std::string, std::uint64_t> m_requestIds;
};

}
