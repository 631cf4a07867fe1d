#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Catalog {

enum class KeyState : std::uint8_t { Active, Withdrawn };
enum class UpstreamState : std::uint8_t { Active, Leaving };
enum class ZoneState : std::uint8_t { In, Out };

/// A tenant. `rate` is in requests per second, `burst` in requests; `weight` is its share in queues.
struct Customer {
    std::string name;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    std::int64_t weight = 1;

    bool operator==(const Customer&) const = default;
};

/// A caller's key. `hash` is the text made by `KeyHasher`; the key itself is stored nowhere.
struct Key {
    std::string name;
    std::string customer;
    std::string hash;
    KeyState state = KeyState::Active;

    bool operator==(const Key&) const = default;
};

/// A database group with the names of its upstreams in rising order.
struct Service {
    std::string name;
    std::vector<std::string> upstreams;

    bool operator==(const Service&) const = default;
};

/// One database of a group. `slots` statements execute at once; the owner opens up to `connections`.
struct Upstream {
    std::string name;
    /// `IP:PORT`, IPv4.
    std::string address;
    std::string zone;
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    UpstreamState state = UpstreamState::Active;

    bool operator==(const Upstream&) const = default;
};

struct Zone {
    std::string name;
    std::string region;
    ZoneState state = ZoneState::In;

    bool operator==(const Zone&) const = default;
};

/// Names a service and either the customers that may use it, in rising order, or that it is open to all.
struct Route {
    std::string name;
    std::string service;
    std::vector<std::string> customers;
    bool open = false;

    bool operator==(const Route&) const = default;
};

/// Limits that hold on all hosts. Those that the interface for callers fixes are not among them.
struct Limits {
    /// Ids from which the keys of session tokens are derived. The first one signs, all verify.
    std::vector<std::string> tokenKeyIds { "k1" };
    /// Requests of one customer that wait at the owner of a group.
    std::int64_t queuedPerCustomer = 200;
    /// Open transactions of one customer at one owner.
    std::int64_t openTransactions = 100;
    std::int64_t transactionIdleMs = 30000;
    /// Largest body of a caller's request.
    std::int64_t bodyBytes = 1048576;

    bool operator==(const Limits&) const = default;
};

/// The whole configuration. Each list is in rising order of the names.
struct Document {
    std::vector<Customer> customers;
    std::vector<Key> keys;
    std::vector<Service> services;
    std::vector<Upstream> upstreams;
    std::vector<Zone> zones;
    std::vector<Route> routes;
    Limits limits;

    bool operator==(const Document&) const = default;
};

/// Brings all lists into rising order of the names; equal documents then have equal canonical texts.
void normalize(Document& document);

std::string_view stateName(KeyState state);
std::string_view stateName(UpstreamState state);
std::string_view stateName(ZoneState state);
/// Sets the state that has the name; false if there is none.
bool setStateFromName(std::string_view name, KeyState& state);
bool setStateFromName(std::string_view name, UpstreamState& state);
bool setStateFromName(std::string_view name, ZoneState& state);

}
