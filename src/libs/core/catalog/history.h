#pragma once

#include "core/catalog/delta.h"
#include "core/catalog/snapshot.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Catalog {

/// One step from a version to a later one.
struct VersionChange {
    std::uint64_t fromVersion = 0;
    std::uint64_t version = 0;
    std::string hash;
    std::string nonce;
    /// `TYPE/NAME` of the objects that differ.
    std::vector<std::string> objectIds;
};

/// Owns the version in force and what changed in the last steps; the older documents themselves are not
/// kept, since 64 of them would exceed the control plane's memory. Used on the thread that adopts versions.
class History {
public:
    /// Hosts that are further behind receive the whole document.
    static constexpr std::size_t maxEntries = 64;

    /// `next` has a higher version than the one in force.
    void adopt(SnapshotPointer next);

    /// nullptr before the first adoption.
    const SnapshotPointer& current() const { return m_current; }
    const std::deque<VersionChange>& entries() const { return m_entries; }
    /// What leads from a version to the one in force: the whole document if the version is not one that this
    /// host had in force during the last steps, nothing if it is not an earlier one.
    std::optional<Delta> deltaFrom(std::uint64_t version) const;

private:
    SnapshotPointer m_current;
    std::deque<VersionChange> m_entries;
};

}
