#pragma once

#include "core/model/logposition.h"
#include "core/model/time.h"
#include "core/replication/timing.h"

#include <optional>

namespace Replication {

/// Detects a primary that answers its owner but from which no majority replicates, for example because
/// the network between the members is interrupted. Used under the group's mutex.
class StallDetector {
public:
    /// Takes the present reports of the primary of `term` into account. `progressAt` is when any replica's
    /// last entry advanced.
    void update(std::uint64_t term, Model::LogPosition last, Model::LogPosition confirmed,
        Model::Time progressAt, Model::Time now);
    bool isStalled(Model::Time now) const { return m_stalledSince && now - *m_stalledSince >= m_limit; }
    /// Nothing has replicated for long enough that the primary should not be promoted again.
    bool isSuspected(Model::Time now) const
    {
        return m_stalledSince && now - *m_stalledSince >= stallSuspicionLimit;
    }
    /// A promotion was started because of the stall; the next one for the same term waits longer.
    void promotionStarted();

private:
    std::uint64_t m_term = 0;
    std::optional<Model::Time> m_stalledSince;
    Model::LogPosition m_confirmed;
    Model::Duration m_limit = stallLimit;
};

}
