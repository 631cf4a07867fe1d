#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"
#include "crypto/base64url.h"
#include "crypto/digest.h"

#include <algorithm>
#include <string>

namespace TestDocuments {

/// Returns a text in the form of a key hash, different for each number.
inline std::string keyHash(int number) { return Crypto::toBase64Url(Crypto::sha256(std::to_string(number))); }

/// Returns a document without faults: 3 zones, `services` services of 3 upstreams each, 2 customers with one
/// key each, and one route for each service (the first is open to all).
inline Catalog::Document consistent(int services = 2)
{
    Catalog::Document document;
    for (const char* zone : { "z1", "z2", "z3" })
        document.zones.push_back({ zone, "north", Catalog::ZoneState::In });
    for (const char* customer : { "acme", "bolt" }) {
        document.customers.push_back({ customer, 1000, 200, 1 });
        const int number = static_cast<int>(document.keys.size());
        document.keys.push_back({ customer + std::string("-key"), customer, keyHash(number) });
    }
    for (int i = 0; i < services; ++i) {
        Catalog::Service service { "db" + std::to_string(i), {} };
        for (const char* zone : { "z1", "z2", "z3" }) {
            const std::string name = service.name + "-" + zone;
            const std::string address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250)
                + ":" + std::to_string(7000 + document.upstreams.size() % 3);
            document.upstreams.push_back({ name, address, zone, 2, 15 });
            service.upstreams.push_back(name);
        }
        Catalog::Route route { "route" + std::to_string(i), service.name, {}, i == 0 };
        if (!route.open)
            route.customers = { "acme", "bolt" };
        document.services.push_back(std::move(service));
        document.routes.push_back(std::move(route));
    }
    Catalog::normalize(document);
    return document;
}

/// Whether one of the faults is about this field of this object.
inline bool hasFault(const Catalog::Faults& faults, Catalog::ObjectType type, const std::string& name,
    const std::string& field)
{
    return std::ranges::any_of(faults, [&](const Catalog::Fault& fault) {
        return fault.type == type && fault.name == name && fault.field == field;
    });
}

}
