#pragma once

#include "database/statement.h"

#include <chrono>

namespace Standins {

/// One entry of a member's log. Its position is its index in the log plus one.
struct LogEntry {
    std::uint64_t term = 0;
    /// Wall-clock time at which the primary appended it.
    std::int64_t createdMs = 0;
    /// Empty without one.
    std::string requestId;
    std::vector<Statement> statements;
    Json result;

    Json toJson() const;
    static LogEntry fromJson(const Json& json);
};

std::int64_t wallClockMs();

/// The log of a member with the table and the request ids that follow from it. Not synchronised.
class EntryLog {
public:
    const std::vector<LogEntry>& entries() const { return m_entries; }
    const Table& table() const { return m_table; }
    std::uint64_t lastPosition() const { return m_entries.size(); }
    std::uint64_t lastTerm() const { return m_entries.empty() ? 0 : m_entries.back().term; }
    /// The term of the entry at a position; 0 for position 0 and positions behind the end.
    std::uint64_t termAt(std::uint64_t position) const;

    void append(LogEntry entry);
    /// Removes all entries behind the position.
    void truncate(std::uint64_t position);
    /// The position of the entry that recorded the request id within the retention time; 0 if none did.
    std::uint64_t positionOf(const std::string& requestId, std::int64_t retentionMs) const;
    /// The last position not behind `position` whose term is not above `term`.
    std::uint64_t commonPosition(std::uint64_t term, std::uint64_t position) const;

private:
    void apply(std::uint64_t position);

    std::vector<LogEntry> m_entries;
    Table m_table;
    std::unordered_map<std::string, std::uint64_t> m_requestIds;
};

}
