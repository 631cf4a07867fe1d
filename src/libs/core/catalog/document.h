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

/// A tenant. `rate` is in requests per second, `burst` in requests; `weight` is the relative share in fair
/// queues.
struct Customer {
    std::string name;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    std::int64_t weight = 1;

    bool operator==(const Customer&) const = default;
};

/// A key with which callers of a customer authenticate. Only its hash, as computed by `KeyHasher`, is stored.
struct Key {
    std::string name;
    std::string customer;
    std::string hash;
    KeyState state = KeyState::Active;

    bool operator==(const Key&) const = default;
};

/// A database group with the names of its upstreams in ascending order.
struct Service {
    std::string name;
    std::vector<std::string> upstreams;

    bool operator==(const Service&) const = default;
};

/// One database of a group. `slots` is the number of statements that execute concurrently, `connections` the
/// maximum number of connections that the owner of the group opens.
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

/// Access to a service, either for the listed customers, in ascending order, or, if `open`, for all.
struct Route {
    std::string name;
    std::string service;
    std::vector<std::string> customers;
    bool open = false;

    bool operator==(const Route&) const = default;
};

/// Configurable limits, equal on all hosts. Limits that the callers' interface fixes are not included.
struct Limits {
    /// Ids from which the keys for session tokens are derived. The first key signs, all of them verify.
    std::vector<std::string> tokenKeyIds { "k1" };
    /// Maximum number of requests of one customer in the queue of a group's owner.
    std::int64_t queuedPerCustomer = 200;
    /// Maximum number of open transactions of one customer at one owner.
    std::int64_t openTransactions = 100;
    std::int64_t transactionIdleMs = 30000;
    /// Maximum size of the body of a caller's request, in bytes.
    std::int64_t bodyBytes = 1048576;

    bool operator==(const Limits&) const = default;
};

/// The whole configuration. When normalized, each list is in ascending order of the names.
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

/// Sorts all lists by name in ascending order, so that equal documents have equal canonical texts.
void normalize(Document& document);

std::string_view stateName(KeyState state);
std::string_view stateName(UpstreamState state);
std::string_view stateName(ZoneState state);
/// Sets `state` to the value with this name; returns false if no value has it.
bool setStateFromName(std::string_view name, KeyState& state);
bool setStateFromName(std::string_view name, UpstreamState& state);
bool setStateFromName(std::string_view name, ZoneState& state);

}
