#include "core/failover/pausecheck.h"

#include "core/model/rendezvous.h"

#include <algorithm>

namespace Failover {

namespace {

    /// Time between the checks of two hosts.
    constexpr Model::Duration turn = std::chrono::milliseconds(20);
    constexpr Model::Duration minCheckPeriod = std::chrono::seconds(2);

}

PauseCheck::PauseCheck(std::string self)
    : m_self(std::move(self))
{
}

bool PauseCheck::isDue(const std::string& service, Model::Time now)
{
    const Model::Duration period = std::max<Model::Duration>(minCheckPeriod, m_hostCount * turn);
    const std::uint64_t place = Model::stableHash(m_self + service) % static_cast<std::uint64_t>(m_hostCount);
    const Model::Time first = now + static_cast<int>(place) * turn;
    const auto [next, isNew] = m_nextChecks.try_emplace(service, first);
    // Writes have not waited for long.
    if (!isNew && now - next->second > period)
        next->second = first;
    if (now < next->second)
        return false;
    next->second = now + period;
    return true;
}

}
