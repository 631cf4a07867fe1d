#pragma once

#include "core/model/time.h"
#include "core/proxy/waitqueue.h"

#include <map>
#include <utility>

namespace Proxy {

/// Estimates how long a new request of a service waits for a slot, from the requests ahead of it, the time
/// for which statements occupy slots, and the pace at which its class is served. Used on one thread.
class WaitEstimate {
public:
    /// Records that a statement of a class occupied a slot for `held`.
    void statementEnded(int priority, Model::Duration held);
    /// Records that the opening of a connection occupied a slot for `held`.
    void openingEnded(Model::Duration held) { m_openingTime += held; }
    /// Records that a request left the queue to start. `isBacklogged` is set if other requests with the same
    /// class, lane and lateness are still waiting.
    void taken(const WaitingRequest& request, bool isBacklogged, Model::Time now);
    /// Records that late requests of a class and lane wait since `now`: the first one is queued, or no
    /// upstream could run them until now.
    void lateWaitsFrom(const WaitingRequest& request, Model::Time now);

    /// Mean time for which a statement of the class occupies a slot; 0 before the first one.
    Model::Duration meanStatementTime(int priority) const;
    /// Returns how long no late request of this class and lane has been served, although one was waiting. One
    /// that is queued now is assumed to wait at least as long.
    Model::Duration lateUnservedFor(const WaitingRequest& request, Model::Time now) const;
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

    /// By priority.
    std::map<int, Model::Duration> m_meanStatementTimes;
    /// Mean slot time that openings add to a statement.
    Model::Duration m_meanOpeningTime {};
    /// Slot time of openings since the last statement.
    Model::Duration m_openingTime {};
    /// By lane and priority.
    std::map<std::pair<WaitLane, int>, Pace> m_paces;
    /// When a late request was served last, or the first one was queued; by lane and priority.
    std::map<std::pair<WaitLane, int>, Model::Time> m_lateServedAt;
};

}
