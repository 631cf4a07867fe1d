#pragma once

#include <chrono>
#include <cstdint>

namespace Model {

/// A clock without `now`: the libraries below core/ receive the current time as an argument.
struct Clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<Clock, duration>;
    // The standard fixes this name for clocks.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// Monotonic time of one process, in microseconds.
using Time = Clock::time_point;
/// Microseconds.
using Duration = Clock::duration;
/// Wall-clock time as whole seconds since the Unix epoch.
using UnixSeconds = std::chrono::duration<std::int64_t>;

using namespace std::chrono_literals;

}
