#pragma once

#include "core/catalog/keyhasher.h"
#include "core/catalog/snapshot.h"
#include "core/session/tokenkeys.h"

#include <memory>
#include <mutex>
#include <string>

namespace Daemon {

/// A version of the configuration with what is derived from it.
struct CatalogInForce {
    Catalog::SnapshotPointer snapshot;
    Session::TokenKeys tokenKeys;
};

using CatalogInForcePointer = std::shared_ptr<const CatalogInForce>;

/// Holds the configuration in force on this host. Any thread may use it; a request keeps the version that it
/// began with.
class CatalogHolder {
public:
    explicit CatalogHolder(const std::string& fleetSecret);

    /// Null until a first version was adopted.
    CatalogInForcePointer current() const;
    /// Puts a version in force. Returns false, and changes nothing, unless it is higher than the present one.
    bool adopt(Catalog::SnapshotPointer snapshot);
    std::uint64_t version() const;
    const Catalog::KeyHasher& keyHasher() const { return m_keyHasher; }

private:
    std::string m_fleetSecret;
    Catalog::KeyHasher m_keyHasher;
    mutable std::mutex m_mutex;
    CatalogInForcePointer m_current;
};

}
