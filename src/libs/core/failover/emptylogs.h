#pragma once

#include "core/model/time.h"

#include <map>
#include <string>

namespace Failover {

/// Remembers which upstreams have reported an empty log. One that has restarted without its log knows nothing
/// of the commits that it had received, so that its answer says nothing about them. The primary may be back
/// with them within `replicaReturnTime`; after that, they count as lost. Used on one thread.
class EmptyLogs {
public:
    /// The upstream has reported an empty log.
    void seen(const std::string& upstream, Model::Time now);
    /// Whether an upstream that reports an empty log may have had another one lately.
    bool mayBeLost(const std::string& upstream, Model::Time now) const;

private:
    struct EmptyLog {
        Model::Time since;
        Model::Time lastSeenAt;
    };

    std::map<std::string, EmptyLog> m_logs;
};

}
