#pragma once

#include "core/model/time.h"

namespace Failover {

/// For so long after its entry was removed, a replica that does not respond may come back with its log.
constexpr Model::Duration replicaReturnTime = std::chrono::seconds(10);

}
