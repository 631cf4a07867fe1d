#pragma once

#include "core/replication/freshness.h"
#include "core/replication/memberview.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Replication {

/// The load of one member.
struct MemberLoad {
    /// The number of statements that the member currently executes.
    std::uint32_t running = 0;
    /// Whether the I/O layer can send a statement now: a connection and an execution slot are free.
    bool isUsable = true;
};

/// The properties of a read that decide where it may run.
struct ReadRequest {
    /// The position of the session token in the group; zero without one.
    Model::LogPosition session;
    /// If set, the data must not be older than this. It does not relax the session position.
    std::optional<Model::Duration> maxAge;
    /// The owner's availability zone, whose replicas are preferred.
    std::string_view zone;
    Model::Time arrivedAt;
};

/// The decision where a read runs.
struct ReadRoute {
    enum class Kind : std::uint8_t {
        /// Run on the replica `member`.
        Replica,
        /// Run on the primary `member`.
        Primary,
        /// Queue the read and route it again after the next report, at the latest at `until`.
        Wait,
        /// Reject with `session_position_lost`: no member can reach the session's position.
        PositionLost,
        /// Reject with `no_primary`: there is no primary and no suitable replica.
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    std::string member;
    /// The term to send with the statement.
    std::uint64_t term = 0;
    Model::Time until {};
};

/// The state of the group for which a read is routed.
struct ReadView {
    std::span<const MemberView> members;
    /// In the order of `members`.
    std::span<const MemberLoad> loads;
    /// The current primary, or null.
    const MemberView* primary = nullptr;
    const Freshness* freshness = nullptr;
    /// When a read stops waiting for a member that can serve it.
    Model::Time unavailableUntil {};
};

/// Chooses the member that runs the read: a replica that satisfies the session position and the maximum age,
/// or after `replicaWait` the primary.
ReadRoute routeRead(const ReadRequest& request, const ReadView& view, Model::Time now);

}
