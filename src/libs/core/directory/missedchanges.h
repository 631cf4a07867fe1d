#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <optional>

namespace Directory {

/// Detects that this host has missed a change of a table that another host has read. The connection on which
/// it watches the table is then unresponsive. Used on one thread.
class MissedChanges {
public:
    /// Records that this host has read all changes up to the version `position`, of which `newest` is that of
    /// the newest one known; 0 if the host knows none. Changes that are still missing then are later ones, so
    /// that the wait for them begins again.
    void read(std::uint64_t newest, std::uint64_t position, Model::Time now);
    /// Records the report of another host that it has read the change with this version.
    void reportedByPeer(std::uint64_t version, Model::Time now);
    /// Whether this host has missed a change for longer than its own reading takes. If so, the wait starts
    /// again, since a new connection needs time as well.
    bool takeMissed(Model::Time now);
    /// Version of the newest change that this host has read; 0 if it has read none.
    std::uint64_t version() const { return m_newest; }
    /// Version of the newest change that another host has reported; 0 if there is none.
    std::uint64_t reportedVersion() const { return m_reported; }

private:
    std::uint64_t m_newest = 0;
    /// Above `m_newest` if the table has not changed since, or if the newest change deleted a row that this
    /// host never had.
    std::uint64_t m_position = 0;
    std::uint64_t m_reported = 0;
    std::optional<Model::Time> m_missedSince;
};

}
