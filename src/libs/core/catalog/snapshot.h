#pragma once

#include "core/catalog/version.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Catalog {

/// A key with its customer.
struct KeyEntry {
    const Key* key = nullptr;
    const Customer* customer = nullptr;
};

/// A service with its upstreams.
struct ServiceEntry {
    const Service* service = nullptr;
    std::vector<const Upstream*> upstreams;
};

/// A route with its service and customers.
struct RouteEntry {
    const Route* route = nullptr;
    const ServiceEntry* service = nullptr;
    std::unordered_set<std::string_view> customers;

    bool isOpen() const { return route->open; }
    bool allows(std::string_view customer) const { return isOpen() || customers.contains(customer); }
};

/// One version of the document with indexes. Owns the document. Immutable, so any thread may use it. The
/// pointers that it returns are valid as long as it exists.
class Snapshot {
public:
    /// The document must be normalized and pass `check`.
    static std::shared_ptr<const Snapshot> create(Version version);
    static std::shared_ptr<const Snapshot> create(std::uint64_t version, Document document);

    Snapshot(const Snapshot&) = delete;
    Snapshot& operator=(const Snapshot&) = delete;

    std::uint64_t version() const { return m_version.number; }
    /// Hash of the version's canonical text.
    const std::string& hash() const { return m_hash; }
    const std::string& previousHash() const { return m_version.previousHash; }
    const std::string& nonce() const { return m_version.nonce; }
    const Document& document() const { return m_version.document; }
    const Limits& limits() const { return document().limits; }

    /// Returns the key with this hash if it is active, otherwise nullptr.
    const KeyEntry* findActiveKey(std::string_view hash) const;
    /// Whether requests that were accepted with this key of this customer may still run.
    bool isKeyActive(std::string_view keyName, std::string_view customer) const;
    const RouteEntry* findRoute(std::string_view name) const;
    const ServiceEntry* findService(std::string_view name) const;
    const Customer* findCustomer(std::string_view name) const;
    const Upstream* findUpstream(std::string_view name) const;
    const Zone* findZone(std::string_view name) const;
    /// False for a zone with the state "out", and for one that the document does not contain.
    bool isZoneIn(std::string_view name) const;

private:
    template <typename Value> using Index = std::unordered_map<std::string_view, Value>;

    explicit Snapshot(Version version);

    Version m_version;
    std::string m_hash;
    Index<KeyEntry> m_activeKeysByHash;
    Index<const Key*> m_keys;
    Index<const Customer*> m_customers;
    Index<const Upstream*> m_upstreams;
    Index<const Zone*> m_zones;
    Index<ServiceEntry> m_services;
    Index<RouteEntry> m_routes;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

}
