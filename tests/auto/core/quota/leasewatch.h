#pragma once

#include "core/quota/slotassignment.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Quota {

/// Stands in for the rule of the membership library (`Membership::LeaseObserver`), which this library does
/// not depend on. Watches the lease rows of other hosts. A lease counts as expired once its row was seen
/// unchanged for `leasePeriod`, with the store reachable and a majority of the roster alive throughout. The
/// time is that of the watching host only, so clocks need not agree.
///
/// Not thread-safe: the caller holds a mutex.
class LeaseWatch {
public:
    /// With a longer gap between two observations, it is not known that the store was reachable throughout.
    static constexpr Model::Duration maxObservationGap = std::chrono::seconds(12);

    /// A lease row was read. `readStarted` is when the read began.
    void observe(const Holder& holder, std::uint64_t renewalCounter, Model::Time readStarted);
    /// The store did not answer, or no majority of the roster is alive: all watches start again.
    void interrupt();
    /// The holders whose lease has expired.
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
