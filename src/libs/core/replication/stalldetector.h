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
    /// `progressAt` is when any replica's last entry advanced.
    void update(
        Model::LogPosition last, Model::LogPosition confirmed, Model::Time progressAt, Model::Time now);
    bool isStalled(Model::Time now) const { return m_stalledSince && now - *m_stalledSince >= m_limit; }
    /// The primary was replaced because of a stall.
    void replaced();

private:
    std::optional<Model::Time> m_stalledSince;
    Model::LogPosition m_confirmed;
    Model::Duration m_limit = stallLimit;
};

}
