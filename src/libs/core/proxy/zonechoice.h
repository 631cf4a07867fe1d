#pragma once

#include "core/model/time.h"

#include <optional>

namespace Proxy {

/// What the choice whether reads of a service leave the zone is based on.
struct ZoneTimes {
    /// Expected time of a read at the best upstream of the own zone, including the wait for it.
    Model::Duration here {};
    /// Expected time of a read at the best upstream of another zone, including the round trip.
    Model::Duration there {};
    /// Round trip to that upstream, beyond the round trip within the zone.
    Model::Duration roundTrip {};
    /// Target latency of the routes.
    Model::Duration target {};
    /// Ratio of the statements that the upstream of the own zone answers with `BUSY`.
    double busyHere = 0;
};

enum class ZoneChange { None, Left, Returned };

/// Decides which share of a service's reads leaves the zone. The share moves in steps, so that the hosts of a
/// zone see the effect of one step on the other zone before the next one. Used on one thread.
class ZoneChoice {
public:
    /// Returns whether the period between two steps has passed.
    bool isDue(Model::Time now) const { return !m_updatedAt || now - *m_updatedAt >= period; }
    /// Moves the share by at most one step for each period. Returns whether reads began or ceased to leave.
    ZoneChange update(const ZoneTimes& times, Model::Time now);
    /// Share of the reads that leave the zone, from 0 to 1.
    double share() const { return m_share; }

private:
    static constexpr Model::Duration period = std::chrono::milliseconds(250);

    double m_share = 0;
    /// Consecutive periods in which leaving would have paid.
    int m_slowPeriods = 0;
    std::optional<Model::Time> m_updatedAt;
};

}
