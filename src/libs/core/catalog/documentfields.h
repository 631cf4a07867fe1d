#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

#include <cstdint>

/// Names, presence and ranges of the fields of all objects. Parsing, checking and writing visit this one
/// list.
namespace Catalog::Internal {

enum class Presence : std::uint8_t { Required, Optional };

/// Inclusive bounds of a number, or of the number of entries of a list.
struct Range {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

constexpr std::int64_t maxRate = 1'000'000'000;
constexpr std::int64_t maxWeight = 1000;
constexpr std::int64_t maxUpstreamsPerService = 7;
constexpr std::int64_t maxConnections = 10000;
constexpr std::int64_t maxTokenKeyIds = 8;
constexpr std::int64_t maxCustomersPerRoute = 100'000;

template <typename Visitor, typename Object>
void visitFields(Visitor& visitor, Object& object, std::type_identity<Customer>)
{
    visitor.field("name", object.name, Presence::Required);
    visitor.field("rate", object.rate, Presence::Required, Range { 1, maxRate });
    visitor.field("burst", object.burst, Presence::Required, Range { 1, maxRate });
    visitor.field("weight", object.weight, Presence::Optional, Range { 1, maxWeight });
}

template <typename Visitor, typename Object>
void visitFields(Visitor& visitor, Object& object, std::type_identity<Key>)
{
    visitor.field("name", object.name, Presence::Required);
    visitor.field("customer", object.customer, Presence::Required);
    visitor.field("hash", object.hash, Presence::Required);
    visitor.field("state", object.state, Presence::Optional);
}

template <typename Visitor, typename Object>
void visitFields(Visitor& visitor, Object& object, std::type_identity<Service>)
{
    visitor.field("name", object.name, Presence::Required);
    visitor.field("upstreams", object.upstreams, Presence::Required, Range { 1, maxUpstreamsPerService });
}

template <typename Visitor, typename Object>
void visitFields(Visitor& visitor, Object& object, std::type_identity<Upstream>)
{
    visitor.field("name", object.name, Presence::Required);
    visitor.field("address", object.address, Presence::Required);
    visitor.field("zone", object.zone, Presence::Required);
    visitor.field("slots", object.slots, Presence::Required, Range { 1, maxConnections });
    visitor.field("connections", object.connections, Presence::Required, Range { 1, maxConnections });
    visitor.field("state", object.state, Presence::Optional);
}

template <typename Visitor, typename Object>
void visitFields(Visitor& visitor, Object& object, std::type_identity<Zone>)
{
    visitor.field("name", object.name, Presence::Required);
    visitor.field("region", object.region, Presence::Required);
    visitor.field("state", object.state, Presence::Optional);
}

template <typename Visitor, typename Object>
void visitFields(Visitor& visitor, Object& object, std::type_identity<Route>)
{
    visitor.field("name", object.name, Presence::Required);
    visitor.field("service", object.service, Presence::Required);
    visitor.field("customers", object.customers, Presence::Optional, Range { 0, maxCustomersPerRoute });
    visitor.field("open", object.open, Presence::Optional);
}

template <typename Visitor, typename Object>
void visitFields(Visitor& visitor, Object& object, std::type_identity<Limits>)
{
    visitor.field("tokenKeyIds", object.tokenKeyIds, Presence::Optional, Range { 1, maxTokenKeyIds });
    visitor.field("queuedPerCustomer", object.queuedPerCustomer, Presence::Optional, Range { 1, 100'000 });
    visitor.field("openTransactions", object.openTransactions, Presence::Optional, Range { 1, 100'000 });
    visitor.field("transactionIdleMs", object.transactionIdleMs, Presence::Optional, Range { 100, 600'000 });
    visitor.field("bodyBytes", object.bodyBytes, Presence::Optional, Range { 1024, 16'777'216 });
}

/// Calls `visitor.list(field name, type, list)` for each list of objects.
template <typename Visitor, typename AnyDocument> void visitLists(Visitor& visitor, AnyDocument& document)
{
    visitor.list("customers", ObjectType::Customer, document.customers);
    visitor.list("keys", ObjectType::Key, document.keys);
    visitor.list("services", ObjectType::Service, document.services);
    visitor.list("upstreams", ObjectType::Upstream, document.upstreams);
    visitor.list("zones", ObjectType::Zone, document.zones);
    visitor.list("routes", ObjectType::Route, document.routes);
}

}
