#pragma once

#include "core/model/time.h"

#include <optional>

namespace Directory {

/// Spaces out the reads of a table that changes often. Reads are priced, so that changes that follow one
/// another for long are read together; the first few are each read at once. Used on one thread.
class ReadPacer {
public:
    /// Lets `burst` reads (1 or more) through at once after a quiet time, then one in each `period`. At first
    /// only `startBurst` are let through: while a fleet starts, all rows change.
    ReadPacer(Model::Duration period, int burst, int startBurst);

    /// Notes a read at `now` and returns how long to wait before the next one.
    Model::Duration pauseAfterRead(Model::Time now);

private:
    Model::Duration m_period;
    Model::Duration m_tolerance;
    Model::Duration m_initialUse;
    /// When the reads so far would have ended at one in each period.
    std::optional<Model::Time> m_accountedUntil;
};

}
