#pragma once

#include "core/catalog/snapshot.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Catalog {

/// The difference between a version and a later one, as hosts send it to each other.
struct Delta {
    /// 0 if `changed` holds the whole document.
    std::uint64_t fromVersion = 0;
    std::uint64_t version = 0;
    /// Hash of `version`, as `versionHash` computes it.
    std::string hash;
    std::string previousHash;
    std::string nonce;
    /// Objects that were added or changed, each as JSON text `{"TYPE":{...}}`.
    std::vector<std::string> changed;
    /// `TYPE/NAME` of objects that were removed.
    std::vector<std::string> removed;
};

/// Ids of all objects that differ: `TYPE/NAME`, or `limits`. Both documents must be normalized.
std::vector<std::string> changedObjects(const Document& from, const Document& to);

/// A delta with the objects of `to` that have these ids; ids that `to` does not contain are listed as
/// removed.
Delta makeDelta(std::uint64_t fromVersion, const Snapshot& to, const std::vector<std::string>& objectIds);
/// A delta with all objects of `to`, which applies to an empty document.
Delta makeWholeDelta(const Snapshot& to);

/// Applies a delta to `base`, which must be an empty document if `fromVersion` is 0. Returns faults if an
/// object is malformed. The hash of the result is not compared with the delta's; that is left to the caller.
Checked<Version> applyDelta(const Document& base, const Delta& delta);

}
