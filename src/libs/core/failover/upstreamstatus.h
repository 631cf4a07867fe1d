#pragma once

#include "core/directory/upstream.h"
#include "core/model/logposition.h"

namespace Failover {

/// What an upstream says of its log and role.
struct UpstreamStatus {
    Directory::Role role = Directory::Role::Replica;
    std::uint64_t term = 0;
    /// End of the log that it has received; it may not have applied all of it.
    Model::LogPosition received;
};

}
