#pragma once

#include "core/model/logposition.h"
#include "core/model/time.h"

#include <deque>
#include <optional>

namespace Proxy {

/// Log positions of a service's primary that this host has observed, and when.
///
/// If a reply confirms that the upstream was the primary when it ran the request, its position includes every
/// commit that was acknowledged before the request was sent, whatever has happened since. A read that must
/// include all commits older than a given staleness therefore needs a position observed by a request that was
/// sent within that time.
class Freshness {
public:
    /// Records `position` from a reply of the primary; `sentAt` is when the request was sent.
    void observe(Model::LogPosition position, Model::Time sentAt);

    /// Returns the lowest observed position that includes every commit acknowledged more than `maxStaleness`
    /// before `now`, or `nullopt` if no observation is recent enough.
    std::optional<Model::LogPosition> required(Model::Time now, Model::Duration maxStaleness) const;

    /// Returns when the primary had reached `position` at the latest: the send time of the first observation
    /// that includes it, or `nullopt` if none does.
    std::optional<Model::Time> reachedAt(Model::LogPosition position) const;

    /// Returns when the request of the newest observation was sent, or `nullopt` without an observation.
    std::optional<Model::Time> lastObserved() const;

private:
    struct Observation {
        Model::Time sentAt;
        Model::LogPosition position;
    };

    std::deque<Observation> m_observations;
};

}
