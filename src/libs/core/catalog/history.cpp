#include "core/catalog/history.h"

#include <algorithm>

namespace Catalog {

void History::adopt(SnapshotPointer next)
{
    HistoryStep step { 0, next->version(), next->hash(), next->nonce(), {} };
    if (m_current) {
        step.fromVersion = m_current->version();
        step.objectIds = changedObjects(m_current->document(), next->document());
    }
    m_steps.push_back(std::move(step));
    if (m_steps.size() > maxSteps)
        m_steps.pop_front();
    m_current = std::move(next);
}

std::optional<Delta> History::deltaFrom(std::uint64_t version) const
{
    if (!m_current || version >= m_current->version())
        return std::nullopt;
    // An object that changed and changed back between two versions is missing in the step between them, so
    // only versions at which a step starts are known well enough.
    const auto first = std::ranges::find(m_steps, version, &HistoryStep::fromVersion);
    if (version == 0 || first == m_steps.end())
        return makeWholeDelta(*m_current);
    std::vector<std::string> objectIds;
    for (auto step = first; step != m_steps.end(); ++step)
        objectIds.insert(objectIds.end(), step->objectIds.begin(), step->objectIds.end());
    return makeDelta(version, *m_current, objectIds);
}

}
