#pragma once

#include "core/directory/upstream.h"
#include "core/model/logposition.h"

namespace Failover {

/// Log position and role, as reported by the upstream itself.
struct UpstreamStatus {
    Directory::Role role = Directory::Role::Replica;
    std::uint64_t term = 0;
    /// End of the log that it has received; it may not have applied all of it.
    Model::LogPosition received;
    /// Term of the promotion for which the upstream was paused, so that it receives nothing; 0 if it is not.
    std::uint64_t pausedTerm = 0;
};

}
