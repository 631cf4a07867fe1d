#pragma once

#include "core/directory/view.h"
#include "core/failover/primarypermission.h"
#include "core/failover/promotionlease.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Failover {

/// The fences of a service, as they stand in the row of its promotion lease.
struct ServiceFences {
    std::string service;
    /// Version of the row.
    std::uint64_t version = 0;
    std::vector<FencedUpstream> fences;
};

/// A host as registered in the store.
struct RegisteredHost {
    std::string name;
    /// No later than its registration, and no earlier than `maxRegistrationTime` before it.
    StoreTime registeredAt {};
};

/// A host's registration takes at most this long; otherwise the host registers again.
constexpr StoreTime maxRegistrationTime { 500 };

/// The hosts whose acknowledgements a promotion needs.
struct AwaitedHosts {
    /// The hosts that were registered after the store had accepted the fences, without this one.
    std::vector<RegisteredHost> hosts;
    /// When this host was registered, and no later than when the store accepted the fences.
    StoreTime ownRegistrationAt {};
    StoreTime fencedAt {};
};

/// Tracks the fences of all services, and which hosts have acknowledged them. Used on one thread.
class PrimaryFences {
public:
    explicit PrimaryFences(Directory::View& view);

    /// Applies the fences of a service. Returns false if these or newer ones are known already.
    bool apply(const ServiceFences& fences, Model::Time now);
    /// The fences that this host reports to the others: those that a host may not have read from the store
    /// yet.
    std::vector<ServiceFences> reported(Model::Time now) const;
    /// Another host has applied the service's fences of this version.
    void acknowledged(const std::string& host, const std::string& service, std::uint64_t version);

    /// Whether no host uses an upstream any more that the newest fences of the service exclude: each has
    /// acknowledged them, or a majority has and the permission of the others has ended, or every permission
    /// has ended that was based on an earlier read of the store. Has to be called repeatedly from the
    /// acquisition of the lease until it returns true.
    bool isEffective(const std::string& service, const AwaitedHosts& awaited, Model::Time now);

private:
    struct Known {
        ServiceFences fences;
        Model::Time since;
        /// Version that each host has acknowledged.
        std::map<std::string, std::uint64_t> acknowledged;
        /// When the acknowledgements of a majority were complete.
        std::optional<Model::Time> majoritySince;
    };

    static std::uint64_t versionOf(const FencedUpstream& fence, const ServiceFences& fences);
    bool areOlderThan(const ServiceFences& fences, Model::Duration age, Model::Time now) const;

    Directory::View& m_view;
    std::map<std::string, Known> m_services;
    /// When this host learned of each fence, by id of the upstream and version of the row that added it.
    std::map<std::pair<std::string, std::uint64_t>, Model::Time> m_knownSince;
};

}
