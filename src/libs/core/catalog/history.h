#pragma once

#include "core/catalog/delta.h"
#include "core/catalog/snapshot.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Catalog {

/// What changed between two versions that this host adopted one after the other.
struct VersionChange {
    /// 0 for the first version that this host adopted.
    std::uint64_t fromVersion = 0;
    std::uint64_t version = 0;
    std::string hash;
    std::string nonce;
    /// Ids of the objects that differ, as returned by `changedObjects`; empty for the first version.
    std::vector<std::string> objectIds;
};

/// Owns the version in force and the ids of the objects that changed with each of the last versions. Earlier
/// documents are not kept, since 64 of them would exceed the control plane's memory. Used on the thread that
/// adopts versions.
class History {
public:
    /// Hosts that have missed more changes than this receive the whole document.
    static constexpr std::size_t maxEntries = 64;

    /// Puts `next` into force; its version must be higher than the one in force.
    void adopt(SnapshotPointer next);

    /// nullptr before the first adoption.
    const SnapshotPointer& current() const { return m_current; }
    const std::deque<VersionChange>& entries() const { return m_entries; }
    /// Returns the delta from `version` to the version in force, or the whole document if no recorded change
    /// starts at `version`; nullopt if `version` is not lower than the one in force.
    std::optional<Delta> deltaFrom(std::uint64_t version) const;

private:
    SnapshotPointer m_current;
    std::deque<VersionChange> m_entries;
};

}
