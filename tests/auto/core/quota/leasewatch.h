#pragma once

#include "core/quota/slotassignment.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Quota {

/// Test double for `Membership::LeaseObserver`, on which the quota library does not depend. Watches the lease
/// rows of other hosts. A lease has expired once its row was seen unchanged for `leasePeriod`, with the store
/// reachable and a majority of the roster alive throughout. Only the watching host's clock is used, so clocks
/// need not agree.
///
/// Not thread-safe: the caller holds a mutex.
class LeaseWatch {
public:
    /// The maximum time between two observations. After a longer gap, it is unknown whether the store was
    /// reachable throughout.
    static constexpr Model::Duration maxObservationGap = std::chrono::seconds(12);

    /// A lease row was read. `readStarted` is when the read began.
    void observe(const Holder& holder, std::uint64_t renewalCounter, Model::Time readStarted);
    /// The store did not respond, or no majority of the roster is alive: restarts all observations.
    void interrupt();
    std::vector<Holder> expired(Model::Time now) const;

private:
    struct Watch {
        std::uint64_t incarnation = 0;
        std::uint64_t renewalCounter = 0;
        Model::Time since;
        Model::Time last;
    };

    std::map<std::string, Watch> m_watches;
};

}
