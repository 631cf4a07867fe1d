#include "core/catalog/snapshot.h"

namespace Catalog {

namespace {

    template <typename Object>
    void indexByName(
        const std::vector<Object>& objects, std::unordered_map<std::string_view, const Object*>& index)
    {
        index.reserve(objects.size());
        for (const Object& object : objects)
            index.emplace(object.name, &object);
    }

    template <typename Index> auto* findEntry(Index& index, std::string_view name)
    {
        const auto found = index.find(name);
        return found == index.end() ? nullptr : &found->second;
    }

    template <typename Object>
    const Object* findObject(
        const std::unordered_map<std::string_view, const Object*>& index, std::string_view name)
    {
        const auto found = index.find(name);
        return found == index.end() ? nullptr : found->second;
    }

}

std::shared_ptr<const Snapshot> Snapshot::create(Version version)
{
    return std::shared_ptr<const Snapshot>(new Snapshot(std::move(version)));
}

std::shared_ptr<const Snapshot> Snapshot::create(std::uint64_t version, Document document)
{
    return create(Version { version, {}, {}, std::move(document) });
}

Snapshot::Snapshot(Version version)
    : m_version(std::move(version))
    , m_hash(versionHash(m_version))
{
    indexByName(document().keys, m_keys);
    indexByName(document().customers, m_customers);
    indexByName(document().upstreams, m_upstreams);
    indexByName(document().zones, m_zones);
    for (const Key& key : document().keys) {
        if (key.state == KeyState::Active)
            m_activeKeysByHash.emplace(key.hash, KeyEntry { &key, findCustomer(key.customer) });
    }
    for (const Service& service : document().services) {
        ServiceEntry entry { &service, {} };
        for (const std::string& upstream : service.upstreams)
            entry.upstreams.push_back(findUpstream(upstream));
        m_services.emplace(service.name, std::move(entry));
    }
    for (const Route& route : document().routes)
        m_routes.emplace(route.name,
            RouteEntry {
                &route, findService(route.service), { route.customers.begin(), route.customers.end() } });
}

const KeyEntry* Snapshot::findActiveKey(std::string_view hash) const
{
    return findEntry(m_activeKeysByHash, hash);
}

bool Snapshot::isKeyActive(std::string_view keyName, std::string_view customer) const
{
    const Key* key = findObject(m_keys, keyName);
    // After a key was removed, its name may have been granted again to another customer.
    return key && key->state == KeyState::Active && key->customer == customer;
}

const RouteEntry* Snapshot::findRoute(std::string_view name) const { return findEntry(m_routes, name); }

const ServiceEntry* Snapshot::findService(std::string_view name) const { return findEntry(m_services, name); }

const Customer* Snapshot::findCustomer(std::string_view name) const { return findObject(m_customers, name); }

const Upstream* Snapshot::findUpstream(std::string_view name) const { return findObject(m_upstreams, name); }

const Zone* Snapshot::findZone(std::string_view name) const { return findObject(m_zones, name); }

bool Snapshot::isZoneIn(std::string_view name) const
{
    const Zone* zone = findZone(name);
    return zone && zone->state == ZoneState::In;
}

}
