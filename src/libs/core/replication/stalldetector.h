#pragma once

#include "core/model/logposition.h"
#include "core/model/time.h"
#include "core/replication/timing.h"

#include <optional>

namespace Replication {

/// Detects a primary that responds to its owner but from which no majority replicates, for example because
/// of a network partition between the members. Not thread-safe: the caller holds the group's mutex.
class StallDetector {
public:
    /// Updates the state for the primary of `term`: `last` is its last entry, `confirmed` the highest
    /// confirmed entry, and `progressAt` the latest time at which the last entry of any replica changed.
    void update(std::uint64_t term, Model::LogPosition last, Model::LogPosition confirmed,
        Model::Time progressAt, Model::Time now);
    /// Whether nothing has replicated for so long that the primary should be replaced.
    bool isStalled(Model::Time now) const { return m_stalledSince && now - *m_stalledSince >= m_limit; }
    /// Whether nothing has replicated for `stallSuspicionLimit`: the primary should receive no new writes and
    /// should not be promoted again.
    bool isSuspected(Model::Time now) const
    {
        return m_stalledSince && now - *m_stalledSince >= stallSuspicionLimit;
    }
    /// Reports that a promotion was started because of the stall. Doubles the limit for the next one until
    /// an entry is confirmed again.
    void promotionStarted();

private:
    std::uint64_t m_term = 0;
    std::optional<Model::Time> m_stalledSince;
    Model::LogPosition m_confirmed;
    Model::Duration m_limit = stallLimit;
};

}
