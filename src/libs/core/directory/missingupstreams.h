#pragma once

#include "core/model/time.h"

#include <map>
#include <string>
#include <vector>

namespace Directory {

/// Tracks upstreams whose entries are missing from the store, possibly because of an outage of the store. If
/// an entry expired during an outage, a running upstream registers again soon after it. Used on one thread.
class MissingUpstreams {
public:
    /// Records that the entry is missing from `now` on; no effect if it was missing already.
    void entryMissing(const std::string& upstream, Model::Time now);
    /// Records that the entry exists again.
    void entrySeen(const std::string& upstream) { m_missingSince.erase(upstream); }
    /// Removes and returns the upstreams whose entries have been missing longer than a running upstream takes
    /// to register again.
    std::vector<std::string> takeExpired(Model::Time now);

private:
    std::map<std::string, Model::Time> m_missingSince;
};

}
