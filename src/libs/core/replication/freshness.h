#pragma once

#include "core/replication/memberview.h"

#include <array>
#include <optional>
#include <span>

namespace Replication {

/// Determines how old the data of a member may be. A checkpoint is a time together with a log entry; every
/// write acknowledged before that time lies at or below the entry. A member that holds the entry is at least
/// as recent as the checkpoint. Not thread-safe: the caller holds the group's mutex.
class Freshness {
public:
    /// Records a checkpoint if the current view of the members allows a new one.
    void update(const MemberView& primary, std::span<const MemberView> members);
    /// The time up to which the member holds every acknowledged write; `std::nullopt` if unknown.
    std::optional<Model::Time> currentAsOf(const MemberView& member) const;

private:
    struct Checkpoint {
        Model::Time time;
        Model::LogPosition entry;
    };

    /// A ring buffer. At an interval of 100 ms it covers 6.4 s; the age of a replica that lags further is
    /// unknown.
    std::array<Checkpoint, 64> m_checkpoints {};
    std::size_t m_begin = 0;
    std::size_t m_size = 0;
    std::uint64_t m_term = 0;
};

}
