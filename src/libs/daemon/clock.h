#pragma once

#include "core/model/time.h"

#include <algorithm>

namespace Daemon {

/// Monotonic time of this process.
inline Model::Time steadyNow()
{
    return Model::Time(
        std::chrono::duration_cast<Model::Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Wall-clock time, for request ids and the issue time of tokens only.
inline Model::UnixSeconds wallNow()
{
    return std::chrono::duration_cast<Model::UnixSeconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

/// Time left until `deadline`, in ms and never below zero.
inline std::chrono::milliseconds timeLeft(Model::Time deadline, Model::Time now)
{
    return std::max(
        std::chrono::ceil<std::chrono::milliseconds>(deadline - now), std::chrono::milliseconds(0));
}

/// The point of `std::chrono::steady_clock` that a condition variable takes.
inline std::chrono::steady_clock::time_point toSteady(Model::Time time)
{
    return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}
