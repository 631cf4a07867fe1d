#pragma once

#include "core/model/time.h"

#include <optional>

namespace Directory {

/// Limits the rate of reads of a table that changes often, by the generic cell rate algorithm (GCRA, ITU-T
/// I.371). Reads cost money, so that changes in a long series are read together; the first few are each read
/// at once. Used on one thread.
class ReadPacer {
public:
    /// After idle time, allows `burst` reads (1 or more) without a pause, then one in each `period`. At first
    /// only `startBurst` reads are allowed, since all rows change while a fleet starts.
    ReadPacer(Model::Duration period, int burst, int startBurst);

    /// Records a read at `now` and returns the pause before the next one; 0 if it may follow at once.
    Model::Duration pauseAfterRead(Model::Time now);

private:
    Model::Duration m_period;
    Model::Duration m_tolerance;
    Model::Duration m_initialUse;
    /// When the reads so far would have ended at a rate of one in each period (theoretical arrival time).
    std::optional<Model::Time> m_accountedUntil;
};

}
