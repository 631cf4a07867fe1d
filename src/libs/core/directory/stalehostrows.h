#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Directory {

/// A host's row in the store.
struct HostEntry {
    std::string host;
    std::uint64_t version = 0;
};

/// Finds the rows of hosts that ended without dropping them and never came back. Used on one thread.
///
/// A living host whose row is dropped, because it was cut off for so long, writes it again.
class StaleHostRows {
public:
    /// A row is abandoned once its host has not been heard for `lifetime`.
    StaleHostRows(std::string self, Model::Duration lifetime);

    void setLifetime(Model::Duration lifetime) { m_lifetime = lifetime; }
    /// These are all rows that exist.
    void setAll(const std::vector<HostEntry>& rows, Model::Time now);
    /// The host's row exists in this version.
    void setRow(const std::string& host, std::uint64_t version, Model::Time now);
    void rowDeleted(const std::string& host) { m_rows.erase(host); }
    /// A report of the host arrived.
    void reportReceived(const std::string& host, Model::Time now);
    /// The next abandoned row that is this host's to drop; one at a time, so that a fault of this host's
    /// network drops few. Has to be called at least once a second.
    std::optional<HostEntry> takeNext(Model::Time now);

private:
    struct Row {
        std::uint64_t version = 0;
        /// When the host was heard last, or its row was read.
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
