#pragma once

#include "core/catalog/keyhasher.h"
#include "core/catalog/snapshot.h"
#include "core/session/tokenkeys.h"

#include <memory>
#include <mutex>
#include <string>

namespace Daemon {

/// A catalogue version and the token keys derived from it.
struct CatalogInForce {
    Catalog::SnapshotPointer snapshot;
    Session::TokenKeys tokenKeys;
};

using CatalogInForcePointer = std::shared_ptr<const CatalogInForce>;

/// Holds the catalogue version in force on this host. Thread-safe. A request uses the version with which it
/// began until its end.
class CatalogHolder {
public:
    explicit CatalogHolder(const std::string& fleetSecret);

    /// Null until the first version is adopted.
    CatalogInForcePointer current() const;
    /// Puts a version in force. Returns false and changes nothing unless it is higher than the current one.
    bool adopt(Catalog::SnapshotPointer snapshot);
    /// The version in force; 0 if there is none yet.
    std::uint64_t version() const;
    const Catalog::KeyHasher& keyHasher() const { return m_keyHasher; }

private:
    std::string m_fleetSecret;
    Catalog::KeyHasher m_keyHasher;
    mutable std::mutex m_mutex;
    CatalogInForcePointer m_current;
};

}
