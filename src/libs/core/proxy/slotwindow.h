#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <vector>

namespace Proxy {

/// How the use of an execution slot ended.
enum class SlotResult : std::uint8_t {
    /// The upstream answered other than `Busy`.
    Answered,
    /// The upstream had no free slot.
    Busy,
    /// Nothing was sent that occupies a slot.
    Unused,
};

/// Limits how many statements and connection openings this host has in progress at one upstream. The limit
/// starts at the upstream's number of slots. It falls when the upstream answers `Busy`, because other hosts
/// use it too, and rises again with other answers (additive increase, multiplicative decrease). It is between
/// 1 and the number of slots, so a host that is the only user never gets `Busy`. Used on one thread.
class SlotWindow {
public:
    explicit SlotWindow(int slots = 1);

    /// Sets the upstream's number of slots. A changed number discards what was learnt about the limit.
    void setSlots(int slots);
    /// Returns whether another statement or opening may start now.
    bool mayStart(Model::Time now) const;

    void started() { ++m_inProgress; }
    void ended(SlotResult result, Model::Time now);
    /// Records that the connection was lost. The upstream may run the statement until `occupiedUntil`.
    void lost(Model::Time occupiedUntil, Model::Time now);

    int limit() const { return static_cast<int>(m_limit); }
    int inProgress() const { return m_inProgress; }
    /// Until then nothing may start, because the upstream was busy.
    Model::Time pausedUntil() const { return m_pausedUntil; }

private:
    void decrease(Model::Time now);
    void increase(Model::Time now);
    int lingering(Model::Time now) const;

    int m_slots;
    double m_limit;
    int m_inProgress = 0;
    int m_consecutiveBusy = 0;
    Model::Time m_pausedUntil;
    Model::Time m_changedAt;
    /// Until when each lost statement may occupy a slot.
    std::vector<Model::Time> m_lost;
};

}
