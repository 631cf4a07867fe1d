#pragma once

#include "core/model/time.h"
#include "core/replication/memberview.h"

#include <cstddef>
#include <optional>
#include <span>

namespace Replication {

/// The first phase of a planned change of primary: holds new writes back until an active replica has
/// caught up. Used under the group's mutex.
class Switchover {
public:
    enum class Step : std::uint8_t {
        None,
        /// Writes are held back.
        Hold,
        /// A replica has caught up, or must do without the last unconfirmed entries: promote.
        Promote,
    };

    /// Decides the step for the present reports. Writes that run on the primary count as in progress.
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
