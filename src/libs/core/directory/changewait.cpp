#include "core/directory/changewait.h"

#include <algorithm>

namespace Directory {

namespace {

    /// The longest wait that the store permits. Each call has a price.
    constexpr Model::Duration maxWait = std::chrono::seconds(30);
    constexpr Model::Duration minWait = std::chrono::milliseconds(500);
    /// Between the ends of the calls of two hosts. With the time until an overdue response counts as lost,
    /// and that for the notification of the others, it has to fit into the time in which changes come into
    /// force.
    constexpr Model::Duration interval = std::chrono::seconds(3);

}

Model::Duration changeWait(FleetPlace place, Model::Duration storeTime)
{
    const int staggered = std::min(place.hosts, static_cast<int>(maxWait / interval));
    // In a large fleet, the calls of some hosts suffice.
    if (place.rank >= staggered)
        return maxWait;
    const Model::Duration period = interval * staggered;
    const Model::Duration sinceEnd = (storeTime + period - interval * place.rank) % period;
    const Model::Duration wait = period - sinceEnd;
    return std::min(wait < minWait ? wait + period : wait, maxWait);
}

}
