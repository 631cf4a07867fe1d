#pragma once

#include "core/model/time.h"

#include <algorithm>

namespace Daemon {

/// The current monotonic time.
inline Model::Time steadyNow()
{
    return Model::Time(
        std::chrono::duration_cast<Model::Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// The current wall-clock time. Used only for request ids and the issue time of tokens.
inline Model::UnixSeconds wallNow()
{
    return std::chrono::duration_cast<Model::UnixSeconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

/// Time left until `deadline`, rounded up to ms; zero if the deadline has passed.
inline std::chrono::milliseconds timeLeft(Model::Time deadline, Model::Time now)
{
    return std::max(
        std::chrono::ceil<std::chrono::milliseconds>(deadline - now), std::chrono::milliseconds(0));
}

/// Converts a time for use with `std::condition_variable`.
inline std::chrono::steady_clock::time_point toSteady(Model::Time time)
{
    return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}
