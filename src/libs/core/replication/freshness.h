#pragma once

#include "core/replication/memberview.h"

#include <array>
#include <optional>
#include <span>

namespace Replication {

/// Determines how old the data of a member may be. A checkpoint is a point in time together with an entry
/// below which every write lies that was acknowledged before that time; a member with that entry is as
/// recent as the checkpoint. Used under the group's mutex.
class Freshness {
public:
    /// Takes the present reports into account.
    void update(const MemberView& primary, std::span<const MemberView> members);
    /// The member holds everything that was acknowledged before the returned time; nothing if unknown.
    std::optional<Model::Time> currentAsOf(const MemberView& member) const;

private:
    struct Checkpoint {
        Model::Time time;
        Model::LogPosition entry;
    };

    /// At the interval of 100 ms this covers 6.4 s; an older replica counts as of unknown age.
    std::array<Checkpoint, 64> m_checkpoints {};
    std::size_t m_begin = 0;
    std::size_t m_size = 0;
    std::uint64_t m_term = 0;
};

}
