#pragma once

#include "core/model/time.h"
#include "core/usage/window.h"

#include <map>
#include <optional>
#include <string>

namespace Usage {

/// Wall-clock time since 1970-01-01 00:00 UTC.
using WallTime = Model::Duration;

/// Converts monotonic time of this host to windows. The wall clock of a single host may jump by seconds, so
/// that the median of the hosts' clocks is used.
class WindowClock {
public:
    explicit WindowClock(Model::Duration windowLength);

    /// A host's wall clock showed `wall` at most a message's delay before `now`.
    void observe(const std::string& host, WallTime wall, Model::Time now);
    /// Replaces the observation of this host's own clock, which has no delay.
    void setOwn(WallTime wall, Model::Time now);
    /// Computes the median again. Has to be called regularly.
    void update(Model::Time now);

    /// The number of other hosts whose clocks are known.
    std::size_t observedHosts() const { return m_observations.size(); }
    /// Whether the time is known.
    bool isKnown() const { return m_offset.has_value(); }
    /// The following functions may be called only if the time is known.
    Window windowAt(Model::Time time) const;
    Model::Time startOf(Window window) const;
    Model::Time endOf(Window window) const { return startOf(window + 1); }

private:
    struct Observation {
        /// Wall-clock time minus monotonic time of this host.
        Model::Duration offset {};
        Model::Time at;
    };

    Model::Duration m_windowLength;
    std::map<std::string, Observation> m_observations;
    std::optional<Model::Duration> m_ownOffset;
    std::optional<Model::Duration> m_offset;
};

}
