#include "database/entrylog.h"

#include <algorithm>

namespace Standins {

Json LogEntry::toJson() const
{
    return { { "term", term }, { "createdMs", createdMs }, { "requestId", requestId },
        { "statements", statements }, { "result", result } };
}

LogEntry LogEntry::fromJson(const Json& json)
{
    return { json.at("term"), json.at("createdMs"), json.at("requestId"), json.at("statements"),
        json.at("result") };
}

std::int64_t wallClockMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::uint64_t EntryLog::termAt(std::uint64_t position) const
{
    return position == 0 || position > m_entries.size() ? 0 : m_entries[position - 1].term;
}

void EntryLog::append(LogEntry entry)
{
    m_entries.push_back(std::move(entry));
    apply(m_entries.size());
}

void EntryLog::apply(std::uint64_t position)
{
    const LogEntry& entry = m_entries[position - 1];
    TableView view { m_table, {} };
    for (const Statement& statement : entry.statements)
        runStatement(view, statement);
    for (auto& [key, value] : view.changes)
        m_table[key] = std::move(value);
    if (!entry.requestId.empty())
        m_requestIds[entry.requestId] = position;
}

void EntryLog::truncate(std::uint64_t position)
{
    if (position >= m_entries.size())
        return;
    m_entries.resize(position);
    m_table.clear();
    m_requestIds.clear();
    for (std::uint64_t replayed = 1; replayed <= position; ++replayed)
        apply(replayed);
}

std::uint64_t EntryLog::positionOf(const std::string& requestId, std::int64_t retentionMs) const
{
    const auto found = requestId.empty() ? m_requestIds.end() : m_requestIds.find(requestId);
    if (found == m_requestIds.end())
        return 0;
    return m_entries[found->second - 1].createdMs + retentionMs < wallClockMs() ? 0 : found->second;
}

std::uint64_t EntryLog::commonPosition(std::uint64_t term, std::uint64_t position) const
{
    position = std::min<std::uint64_t>(position, m_entries.size());
    while (position > 0 && termAt(position) > term)
        --position;
    return position;
}

}
