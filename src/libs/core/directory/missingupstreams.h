#pragma once

#include "core/model/time.h"

#include <map>
#include <string>
#include <vector>

namespace Directory {

/// Upstreams whose entries are missing, for a reason that may be an outage of the store. An entry that
/// expired in an outage is back soon after it if its upstream lives. Used on one thread.
class MissingUpstreams {
public:
    /// The entry is missing; a time noted before is kept.
    void entryMissing(const std::string& upstream, Model::Time now);
    /// The entry is there again.
    void entrySeen(const std::string& upstream) { m_missingSince.erase(upstream); }
    /// Takes the upstreams that have been missing for too long to be alive.
    std::vector<std::string> takeExpired(Model::Time now);

private:
    std::map<std::string, Model::Time> m_missingSince;
};

}
