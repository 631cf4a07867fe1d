#include "core/placement/linkhealth.h"

#include <algorithm>

namespace Placement {

namespace {

    constexpr Model::Duration connectTimeout = std::chrono::milliseconds(700);
    constexpr Model::Duration reconnectPause = std::chrono::milliseconds(300);
    constexpr Model::Duration busyPingPeriod = std::chrono::milliseconds(100);
    constexpr Model::Duration idlePingPeriod = std::chrono::seconds(1);
    /// Longer than an overloaded host takes to answer, since statements on a connection that is given up are
    /// in doubt.
    constexpr Model::Duration pingTimeout = std::chrono::milliseconds(700);
    /// After this time without an answer to a ping, new operations and reads are sent to other hosts. This is
    /// shorter than `pingTimeout`, because it puts no statement in doubt.
    constexpr Model::Duration silentAfter = std::chrono::milliseconds(200);
    /// After a lost connection, the host gets no new operations for this long, so that an unstable connection
    /// is not used after each reconnection.
    constexpr Model::Duration returnPause = std::chrono::seconds(1);
    constexpr Model::Duration declinedPause = std::chrono::milliseconds(200);

}

bool LinkHealth::shouldConnect(Model::Time now) const
{
    return m_state == LinkState::Down && (!m_connectAt || now >= *m_connectAt);
}

void LinkHealth::connecting(Model::Time now)
{
    m_state = LinkState::Connecting;
    m_changedAt = now;
    m_pingedAt.reset();
    m_outstanding = 0;
    m_isDraining = false;
}

void LinkHealth::connected(Model::Time now)
{
    m_state = LinkState::Up;
    m_changedAt = now;
    m_lastReceived = now;
}

void LinkHealth::lost(Model::Time now)
{
    if (m_state == LinkState::Up)
        m_usableAt = now + returnPause;
    m_state = LinkState::Down;
    m_changedAt = now;
    m_connectAt = now + reconnectPause;
}

void LinkHealth::received(Model::Time now)
{
    m_lastReceived = now;
    m_pingedAt.reset();
}

bool LinkHealth::isPingDue(Model::Time now) const
{
    const Model::Duration period = m_outstanding > 0 ? busyPingPeriod : idlePingPeriod;
    return m_state == LinkState::Up && !m_pingedAt && now - m_lastReceived >= period;
}

void LinkHealth::pinged(Model::Time now) { m_pingedAt = now; }

bool LinkHealth::isUnresponsive(Model::Time now) const
{
    if (m_state == LinkState::Connecting)
        return now - m_changedAt >= connectTimeout;
    return m_state == LinkState::Up && m_pingedAt && now - *m_pingedAt >= pingTimeout;
}

void LinkHealth::processPaused(Model::Time now)
{
    m_changedAt = std::max(m_changedAt, m_state == LinkState::Connecting ? now : m_changedAt);
    if (m_pingedAt)
        m_pingedAt = now;
}

void LinkHealth::declined(Model::Time now) { m_usableAt = now + declinedPause; }

bool LinkHealth::isSilent(Model::Time now) const { return m_pingedAt && now - *m_pingedAt >= silentAfter; }

bool LinkHealth::isUsable(Model::Time now) const
{
    return m_state == LinkState::Up && !m_isDraining && !isSilent(now) && (!m_usableAt || now >= *m_usableAt);
}

}
