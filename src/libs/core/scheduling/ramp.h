#pragma once

#include "core/model/time.h"

#include <optional>
#include <random>

namespace Scheduling {

/// Weight of an availability zone: full, or rising from 10 % to 100 % over 30 s after the zone came back
/// in. Caches and connections of its upstreams are cold then. Not thread-safe: the caller holds a mutex.
class Ramp {
public:
    static constexpr int initialPermille = 100;
    static constexpr int fullPermille = 1000;
    static constexpr Model::Duration duration = std::chrono::seconds(30);

    enum class ZoneState { In, Out };

    /// The state in which a zone is first seen; there is no ramp for a zone that is in from the start.
    explicit Ramp(ZoneState state = ZoneState::In);

    /// Starts the ramp at a change from out to in; nothing if the state is the same as before.
    void setState(ZoneState state, Model::Time now);

    /// 0 while the zone is out.
    int permille(Model::Time now) const;
    /// Whether the zone is a candidate for one item of work: true with the probability of its weight.
    bool admits(Model::Time now, std::mt19937_64& generator) const;

private:
    ZoneState m_state;
    std::optional<Model::Time> m_enabledAt;
};

}
