#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Directory {

/// The row of a host in the store.
struct HostEntry {
    std::string host;
    std::uint64_t version = 0;
};

/// Finds the rows of hosts that ended without deleting them and did not restart. Used on one thread.
///
/// If the row of a live host is deleted because the host was partitioned for that long, the host writes it
/// again.
class StaleHostRows {
public:
    /// A row is stale once its host has not reported for `lifetime`.
    StaleHostRows(std::string self, Model::Duration lifetime);

    void setLifetime(Model::Duration lifetime) { m_lifetime = lifetime; }
    /// Sets all rows that exist; others are removed.
    void setAll(const std::vector<HostEntry>& rows, Model::Time now);
    /// Adds the row of a host, or updates its version.
    void setRow(const std::string& host, std::uint64_t version, Model::Time now);
    void rowDeleted(const std::string& host) { m_rows.erase(host); }
    /// Records a report of the host, which keeps its row from becoming stale.
    void reportReceived(const std::string& host, Model::Time now);
    /// Returns the next stale row that is assigned to this host for deletion. Rows are returned one at a time
    /// with a pause in between, so that a fault of this host's network deletes few of them. Has to be called
    /// at least once a second.
    std::optional<HostEntry> takeNext(Model::Time now);

private:
    struct Row {
        std::uint64_t version = 0;
        /// When the host last reported or its row last changed, whichever is later.
        Model::Time seenAt;
    };

    bool isAssignedToSelf(const std::string& host, Model::Time now) const;

    std::string m_self;
    Model::Duration m_lifetime;
    std::map<std::string, Row> m_rows;
    std::optional<Model::Time> m_lastCallAt;
    std::optional<Model::Time> m_lastTakenAt;
};

}
