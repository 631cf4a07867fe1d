#include "core/catalog/history.h"

#include <algorithm>

namespace Catalog {

void History::adopt(SnapshotPointer next)
{
    VersionChange entry { 0, next->version(), next->hash(), next->nonce(), {} };
    if (m_current) {
        entry.fromVersion = m_current->version();
        entry.objectIds = changedObjects(m_current->document(), next->document());
    }
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > maxEntries)
        m_entries.pop_front();
    m_current = std::move(next);
}

std::optional<Delta> History::deltaFrom(std::uint64_t version) const
{
    if (!m_current || version >= m_current->version())
        return std::nullopt;
    // The entry of two versions omits an object that changed and changed back between them. The entries are
    // therefore complete only for versions at which one of them starts.
    const auto first = std::ranges::find(m_entries, version, &VersionChange::fromVersion);
    if (version == 0 || first == m_entries.end())
        return makeWholeDelta(*m_current);
    std::vector<std::string> objectIds;
    for (auto entry = first; entry != m_entries.end(); ++entry)
        objectIds.insert(objectIds.end(), entry->objectIds.begin(), entry->objectIds.end());
    return makeDelta(version, *m_current, objectIds);
}

}
