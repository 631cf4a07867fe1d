#pragma once

#include "core/model/logposition.h"
#include "core/model/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Replication {

enum class ConnectionKind : std::uint8_t {
    /// A connection that is already open.
    Established,
    /// A connection opened for this call. Shows whether the member works although the established connections
    /// may be unresponsive.
    New,
};

/// Read `/status` of a member. Its result goes to `Group::observeReport` or `Group::observeFailure`.
struct Probe {
    std::string member;
    ConnectionKind connection = ConnectionKind::Established;
};

/// Call `/fence`. Its result goes to `Group::fenceAnswered` or `Group::fenceLost`.
struct Fence {
    std::string member;
    std::uint64_t term = 0;
};

/// Call `/promote`. Its result goes to `Group::promoteAnswered` or `Group::promoteLost`.
struct Promote {
    std::string member;
    std::uint64_t term = 0;
    /// Names of all members of the group.
    std::vector<std::string> members;
};

/// Call `/follow`. Its result goes to `Group::followAnswered` or `Group::followLost`.
struct Follow {
    std::string member;
    std::uint64_t term = 0;
    std::string primary;
};

/// A call that the I/O layer makes to a member, with the time-out `callTimeout`.
using Action = std::variant<Probe, Fence, Promote, Follow>;

/// The response to `/fence`.
struct FenceAnswer {
    bool accepted = false;
    /// The promised term after the call.
    std::uint64_t promisedTerm = 0;
    /// The member's last entry. Set only if accepted.
    Model::LogPosition lastEntry;
};

/// The response to `/promote` and `/follow`.
struct TermAnswer {
    bool accepted = false;
    /// The promised term after the call; 0 if the response does not contain it.
    std::uint64_t promisedTerm = 0;
};

}
