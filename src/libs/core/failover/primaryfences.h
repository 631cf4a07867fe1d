#pragma once

#include "core/directory/view.h"
#include "core/failover/primarypermission.h"
#include "core/failover/promotionlease.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Failover {

/// Which upstream of a service may be used as the primary, as it stands in the row of its promotion lease.
struct AllowedPrimary {
    std::string service;
    /// Revision of the lease (`leaseRevision`).
    std::uint64_t revision = 0;
    /// Empty while none may be used, which is the fence of a promotion; `nullopt` while any may.
    std::optional<std::string> upstream;

    bool isFence() const { return upstream && upstream->empty(); }
};

/// A host as registered in the store.
struct RegisteredHost {
    std::string name;
    /// No later than its registration, and no earlier than `maxRegistrationTime` before it.
    StoreTime registeredAt {};
};

/// A host's registration takes at most this long; otherwise the host registers again. Longer than the two
/// calls take while the store is slow.
constexpr StoreTime maxRegistrationTime { 1500 };

/// The hosts whose acknowledgements a promotion needs.
struct AwaitedHosts {
    /// The hosts that were registered after the store had accepted the fence, without this one.
    std::vector<RegisteredHost> hosts;
    /// When this host was registered, and no later than when the store accepted the fence.
    StoreTime ownRegistrationAt {};
    StoreTime fencedAt {};
};

/// Tracks the primaries that promotions allow, and which hosts have acknowledged them. Used on one thread.
class PrimaryFences {
public:
    explicit PrimaryFences(Directory::View& view);

    /// Applies a change. Returns false if this or a newer one is known already.
    bool apply(const AllowedPrimary& primary, Model::Time now);
    /// The changes that this host reports to the others: those that a host may not have read from the store
    /// yet.
    std::vector<AllowedPrimary> reported(Model::Time now) const;
    /// The newest changes that this host knows, one for each service.
    std::vector<AllowedPrimary> known() const;
    /// Another host has applied the service's change of this revision.
    void acknowledged(const std::string& host, const std::string& service, std::uint64_t revision);

    /// Whether no host uses a primary of the service any more since the newest change, a fence: each has
    /// acknowledged it, or a majority has and the permission of the others has ended, or every permission
    /// has ended that was based on an earlier read of the store. Has to be called repeatedly from the
    /// acquisition of the lease until it returns true.
    bool isEffective(const std::string& service, const AwaitedHosts& awaited, Model::Time now);

private:
    struct Known {
        AllowedPrimary primary;
        Model::Time since;
        /// When this host learned that no primary may be used; unset while one may.
        std::optional<Model::Time> fencedSince;
        /// Revision that each host has acknowledged.
        std::map<std::string, std::uint64_t> acknowledged;
        /// When the acknowledgements of a majority were complete.
        std::optional<Model::Time> majoritySince;
    };

    Directory::View& m_view;
    std::map<std::string, Known> m_services;
};

}
