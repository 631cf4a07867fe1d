#pragma once

#include "core/model/time.h"

#include <algorithm>
#include <map>
#include <string>

namespace Failover {

/// Decides when this host checks whether the replicas of a service are paused, because writes wait on a
/// primary that responds. A host that ended during a promotion may have left them so.
///
/// All hosts of a fleet notice it at the same time, but the replicas have few slots: the hosts check in turn.
/// Used on one thread.
class PauseCheck {
public:
    explicit PauseCheck(std::string self);

    /// Number of live hosts, including this one.
    void setHostCount(int count) { m_hostCount = std::max(count, 1); }
    /// Writes of the service wait at `now`. Returns whether this host has to check the replicas.
    bool isDue(const std::string& service, Model::Time now);

private:
    std::string m_self;
    int m_hostCount = 1;
    std::map<std::string, Model::Time> m_nextChecks;
};

}
