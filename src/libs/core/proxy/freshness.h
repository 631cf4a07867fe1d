#pragma once

#include "core/model/logposition.h"
#include "core/model/time.h"

#include <deque>
#include <optional>

namespace Proxy {

/// The log positions of a service's primary as this host saw them.
///
/// A reply that proves that the upstream led when it ran the request covers every commit that was
/// acknowledged before the request was sent, whatever happened since. A read that has to see the commits
/// older than some staleness therefore needs a position observed by a request sent within that time.
class Freshness {
public:
    /// `sentAt` is when the request was sent whose reply showed `position`.
    void observe(Model::LogPosition position, Model::Time sentAt);

    /// The lowest position that shows every commit acknowledged more than `maxStaleness` before `now`;
    /// nothing if no observation is recent enough.
    std::optional<Model::LogPosition> required(Model::Time now, Model::Duration maxStaleness) const;

    /// The newest observation's send time.
    std::optional<Model::Time> lastObserved() const;

private:
    struct Observation {
        Model::Time sentAt;
        Model::LogPosition position;
    };

    std::deque<Observation> m_observations;
};

}
