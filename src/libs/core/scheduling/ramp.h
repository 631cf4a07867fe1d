#pragma once

#include "core/model/time.h"

#include <optional>
#include <random>

namespace Scheduling {

/// Weight of an availability zone: 100 % normally, 0 while the zone is out of service. After the zone is back
/// in service, the weight rises from 10 % to 100 % over 30 s, because caches and connections of its upstreams
/// are cold. Not thread-safe: the caller holds a mutex.
class Ramp {
public:
    static constexpr int initialPermille = 100;
    static constexpr int fullPermille = 1000;
    static constexpr Model::Duration duration = std::chrono::seconds(30);

    enum class ZoneState { In, Out };

    /// `state` is the initial state of the zone. A zone that is in service from the start has no ramp.
    explicit Ramp(ZoneState state = ZoneState::In);

    /// Changes the state. A change from `Out` to `In` starts the ramp; an unchanged state has no effect.
    void setState(ZoneState state, Model::Time now);

    /// The current weight in thousandths; 0 while the zone is out of service.
    int permille(Model::Time now) const;
    /// Whether the zone may receive one item of work. True with a probability equal to the weight.
    bool admits(Model::Time now, std::mt19937_64& generator) const;

private:
    ZoneState m_state;
    std::optional<Model::Time> m_enabledAt;
};

}
