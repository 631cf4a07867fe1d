#pragma once

#include "core/replication/freshness.h"
#include "core/replication/memberview.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Replication {

/// The load of a member, in the order of `Group::members`.
struct MemberLoad {
    /// Statements that the member executes at present.
    std::uint32_t running = 0;
    /// The I/O layer can send a statement now: a connection and an execution slot are free.
    bool isUsable = true;
};

struct ReadRequest {
    /// The session token's entry for the group; zero without one.
    Model::LogPosition session;
    /// If set, the data must not be older than this. It does not relax the session position.
    std::optional<Model::Duration> maxAge;
    /// The owner's availability zone, whose replicas are preferred.
    std::string_view zone;
    Model::Time arrivedAt;
};

struct ReadRoute {
    enum class Kind : std::uint8_t {
        /// Run on the replica `member`.
        Replica,
        /// Run on the primary `member`.
        Primary,
        /// Ask again after the next report, at the latest at `until`.
        Wait,
        /// No member can reach the session's position: `session_position_lost`.
        PositionLost,
        /// There is no primary and no suitable replica: `no_primary`.
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    std::string member;
    /// The term to send with the statement.
    std::uint64_t term = 0;
    Model::Time until {};
};

/// What the group knows when it routes a read.
struct ReadView {
    std::span<const MemberView> members;
    std::span<const MemberLoad> loads;
    /// The present primary, or null.
    const MemberView* primary = nullptr;
    const Freshness* freshness = nullptr;
    /// How long a read waits if there is no primary.
    Model::Time unavailableUntil {};
};

ReadRoute routeRead(const ReadRequest& request, const ReadView& view, Model::Time now);

}
