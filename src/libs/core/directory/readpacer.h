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
    /// Allows no reads without a pause. The pause begins at `startPause` and doubles with each read until it
    /// has reached `period`.
    static ReadPacer withGrowingPause(Model::Duration startPause, Model::Duration period);

    /// Records a read at `now` and returns the pause before the next one; 0 if it may follow at once.
    Model::Duration pauseAfterRead(Model::Time now);

private:
    Model::Duration m_period;
    /// The period that applies to the next read; at most `m_period`.
    Model::Duration m_currentPeriod;
    Model::Duration m_tolerance;
    Model::Duration m_initialUse;
    /// When the reads so far would have ended at a rate of one in each period (theoretical arrival time).
    std::optional<Model::Time> m_accountedUntil;
};

/// The pacer for the table of hosts. Its rows change several times a second while a fleet restarts, so that
/// they are read rarely; but limits of customers are divided wrongly until a host knows those that started
/// together with it, so that the first reads follow each other soon.
ReadPacer hostRowsPacer();

}
