#include "core/membership/updatequeue.h"

#include <algorithm>
#include <tuple>

namespace Membership {

void UpdateQueue::add(const std::string& name)
{
    remove(name);
    m_entries.push_back({ name, 0, m_nextSequence++ });
}

void UpdateQueue::addIfAbsent(const std::string& name)
{
    if (std::ranges::find(m_entries, name, &Entry::name) == m_entries.end())
        m_entries.push_back({ name, 0, m_nextSequence++ });
}

void UpdateQueue::remove(std::string_view name)
{
    std::erase_if(m_entries, [&](const Entry& entry) { return entry.name == name; });
}

std::vector<std::string> UpdateQueue::take(std::size_t count, int limit)
{
    const std::size_t taken = std::min(count, m_entries.size());
    const auto end = m_entries.begin() + static_cast<std::ptrdiff_t>(taken);
    std::ranges::partial_sort(m_entries, end, {},
        [](const Entry& entry) { return std::pair(entry.transmissions, entry.sequence); });
    std::vector<std::string> names;
    for (auto entry = m_entries.begin(); entry != end; ++entry) {
        names.push_back(entry->name);
        ++entry->transmissions;
    }
    std::erase_if(m_entries, [&](const Entry& entry) { return entry.transmissions >= limit; });
    return names;
}

}
