#include "core/scheduling/ramp.h"

#include <algorithm>

namespace Scheduling {

Ramp::Ramp(ZoneState state)
    : m_state(state)
{
}

void Ramp::setState(ZoneState state, Model::Time now)
{
    if (state == m_state)
        return;
    m_state = state;
    m_enabledAt = state == ZoneState::In ? std::optional(now) : std::nullopt;
}

int Ramp::permille(Model::Time now) const
{
    if (m_state == ZoneState::Out)
        return 0;
    if (!m_enabledAt || now - *m_enabledAt >= duration)
        return fullPermille;
    const Model::Duration since = std::max(now - *m_enabledAt, Model::Duration::zero());
    return initialPermille + static_cast<int>((fullPermille - initialPermille) * since / duration);
}

bool Ramp::admits(Model::Time now, std::mt19937_64& generator) const
{
    return std::uniform_int_distribution<int>(0, fullPermille - 1)(generator) < permille(now);
}

}
