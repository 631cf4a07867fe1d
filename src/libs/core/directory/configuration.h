#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Directory {

/// Which commits are visible to the statements of a route.
enum class RouteKind : std::uint8_t {
    /// Every acknowledged commit is visible.
    Primary,
    /// Commits acknowledged longer ago than the route's maximum staleness are visible.
    Bounded,
    /// As `Bounded`; every commit of the session itself is visible as well.
    OwnWrites,
};

/// Maps the database name that callers request to a service.
struct Route {
    std::string name;
    /// The name that a caller sends to open a session.
    std::string database;
    std::string service;
    RouteKind kind = RouteKind::Primary;
    Model::Duration maxStaleness {};
    Model::Duration statementTimeout = std::chrono::seconds(1);
    Model::Duration targetLatency = std::chrono::seconds(1);
    /// 0 is the highest priority.
    int priority = 0;
    /// Open to callers without a valid key.
    bool isOpen = false;
};

/// The operators' settings for a group of upstreams with the same data.
struct Service {
    std::string name;
    /// Connections that one upstream accepts from all hosts together.
    int maxConnections = 0;
    /// How many replicas have to receive a commit before the primary acknowledges it; 0 if it does not wait.
    int synchronousReplicas = 0;
    /// Requests per second that an upstream may receive while it is cold after its start; 0 for no limit.
    double coldRequestsPerSecond = 0;
};

/// A tenant. `rate` is in operations per second, `burst` in operations; both count over all hosts.
struct Customer {
    std::string name;
    double rate = 0;
    double burst = 0;
};

struct Limits {
    /// A transaction without a statement for this long is rolled back.
    Model::Duration idleTransaction = std::chrono::seconds(3);
};

/// One version of everything that operators configure. Filled by the adapter, then immutable.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    std::map<std::string, Customer, std::less<>> customers;
    /// Customer name by key.
    std::unordered_map<std::string, std::string> customerByKey;
    Limits limits;

    /// The route for a database name, or null if there is none.
    const Route* findRoute(std::string_view database) const;
    const Service* findService(std::string_view name) const;
    const Customer* findCustomer(std::string_view name) const;
    /// The customer with this key, or null if there is none.
    const Customer* findCustomerOfKey(const std::string& key) const;
};

}
