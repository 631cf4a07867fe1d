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
    /// A connection opened for this call. An open connection may be silent although the member works.
    New,
};

/// Read `/status` of a member.
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

/// A call that the I/O layer makes, each with the limit `callTimeout`.
using Action = std::variant<Probe, Fence, Promote, Follow>;

struct FenceAnswer {
    bool accepted = false;
    /// The promised term after the call.
    std::uint64_t promisedTerm = 0;
    /// Only if accepted.
    Model::LogPosition lastEntry;
};

/// The answer to `/promote` and `/follow`.
struct TermAnswer {
    bool accepted = false;
    /// The promised term after the call; 0 if the member did not state it.
    std::uint64_t promisedTerm = 0;
};

}
