#pragma once

#include <mutex>
#include <set>
#include <string>

namespace Review2 {

/// Ids of statements that databases have received or run. Thread-safe.
class StatementIds {
public:
    void add(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }
    bool contains(const std::string& id) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_ids;
};

}
