#pragma once

#include "core/catalog/snapshot.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Catalog {

/// What leads from one version to a later one.
struct Delta {
    /// 0 if `changed` holds the whole document.
    std::uint64_t fromVersion = 0;
    std::uint64_t version = 0;
    std::string hash;
    std::string previousHash;
    std::string nonce;
    /// Objects that were added or changed, as `{"TYPE":{...}}`.
    std::vector<std::string> changed;
    /// `TYPE/NAME` of objects that were removed.
    std::vector<std::string> removed;
};

/// `TYPE/NAME` of all objects that differ, and `limits` if those do. Both documents are normalized.
std::vector<std::string> changedObjects(const Document& from, const Document& to);

/// The objects of `to` with these ids, and the removal of those that it does not have.
Delta makeDelta(std::uint64_t fromVersion, const Snapshot& to, const std::vector<std::string>& objectIds);
Delta makeWholeDelta(const Snapshot& to);

/// The version to which a delta leads from `base`, which is empty for a whole one. The caller compares the
/// hash. Faults if an object is malformed.
Checked<Version> applyDelta(const Document& base, const Delta& delta);

}
