#include "core/directory/missedchanges.h"

#include <algorithm>

namespace Directory {

namespace {

    /// Changes that follow one another are read together, up to 0.8 s after the first.
    constexpr Model::Duration grace = std::chrono::milliseconds(1200);

}

void MissedChanges::read(std::uint64_t version)
{
    m_read = std::max(m_read, version);
    if (m_read >= m_heard)
        m_behindSince.reset();
}

void MissedChanges::heard(std::uint64_t version, Model::Time now)
{
    m_heard = std::max(m_heard, version);
    if (m_read < m_heard && !m_behindSince)
        m_behindSince = now;
}

bool MissedChanges::takeBehind(Model::Time now)
{
    if (!m_behindSince || now - *m_behindSince < grace)
        return false;
    m_behindSince = now;
    return true;
}

}
