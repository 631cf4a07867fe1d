#include "core/directory/missedchanges.h"

#include <algorithm>

namespace Directory {

namespace {

    /// Longer than a host takes to read a change: successive changes are read together, up to 0.8 s after the
    /// first.
    constexpr Model::Duration grace = std::chrono::milliseconds(1200);

}

void MissedChanges::read(std::uint64_t newest, std::uint64_t position, Model::Time now)
{
    m_newest = std::max(m_newest, newest);
    if (position <= m_position)
        return;
    m_position = position;
    if (m_position >= m_reported)
        m_missedSince.reset();
    else
        m_missedSince = now;
}

void MissedChanges::reportedByPeer(std::uint64_t version, Model::Time now)
{
    m_reported = std::max(m_reported, version);
    if (m_position < m_reported && !m_missedSince)
        m_missedSince = now;
}

bool MissedChanges::takeMissed(Model::Time now)
{
    if (!m_missedSince || now - *m_missedSince < grace)
        return false;
    m_missedSince = now;
    return true;
}

}
