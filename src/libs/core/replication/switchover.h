#pragma once

#include "core/model/time.h"
#include "core/replication/memberview.h"

#include <cstddef>
#include <optional>
#include <span>

namespace Replication {

/// The first phase of a planned switchover, which moves the primary role off a member that is not active:
/// holds new writes until an active replica has caught up. Not thread-safe: the caller holds the group's
/// mutex.
class Switchover {
public:
    enum class Step : std::uint8_t {
        /// Writes run as usual.
        None,
        /// New writes are held.
        Hold,
        /// Start a promotion: a replica has caught up and no writes are in progress, or `holdLimit` has
        /// passed and either a replica has caught up or the active replicas are a majority. In the latter
        /// case, the new primary may lack the last unconfirmed entries.
        Promote,
    };

    /// Determines the step for the current view of the members. `writesInProgress` is the number of writes
    /// and open transactions on the primary.
    Step update(const MemberView& primary, std::span<const MemberView> members, std::size_t writesInProgress,
        Model::Time now);
    bool isHolding() const { return m_heldSince.has_value(); }
    std::optional<Model::Time> heldSince() const { return m_heldSince; }

private:
    bool hasCaughtUp(const MemberView& member, const MemberView& primary) const;
    Step finish(Step step, Model::Time now);

    std::optional<Model::Time> m_heldSince;
    Model::Time m_retryAt {};
};

}
