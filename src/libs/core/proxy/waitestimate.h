#pragma once

#include "core/model/time.h"
#include "core/proxy/waitqueue.h"

#include <cstdint>
#include <map>
#include <utility>

namespace Proxy {

enum class SlotUse : std::uint8_t { Statement, Opening };

/// Estimates how long a new request of a service waits for a slot, from the requests ahead of it, the time
/// for which statements occupy slots, and the pace at which its class is served. Used on one thread.
class WaitEstimate {
public:
    /// Records that a slot was occupied for `held`.
    void slotUsed(SlotUse use, Model::Duration held);
    /// Records that a request left the queue. `isBacklogged`: others of its class and lane still wait.
    void taken(WaitLane lane, int priority, bool isBacklogged, Model::Time now);

    /// Mean time for which a statement occupies a slot; 0 before the first statement.
    Model::Duration meanStatementTime() const { return m_meanStatementTime; }
    /// Returns the expected wait of a request behind `ahead` for one of `slots` slots.
    Model::Duration expectedWait(
        const WaitingRequest& request, const QueueAhead& ahead, int slots, Model::Time now) const;

private:
    /// How fast the requests of a class are served while some wait.
    struct Pace {
        Model::Duration interval {};
        int samples = 0;
        Model::Time takenAt;
        bool isBacklogged = false;
    };

    Model::Duration m_meanStatementTime {};
    /// Slot time per statement, with the openings of connections.
    Model::Duration m_meanSlotTime {};
    /// Slot time of openings since the last statement.
    Model::Duration m_openingTime {};
    std::map<std::pair<WaitLane, int>, Pace> m_paces;
};

}
