#pragma once

#include "core/model/time.h"

#include <optional>
#include <random>

namespace Scheduling {

/// Exponential back-off with full jitter: each delay is drawn uniformly between zero and a bound that doubles
/// from `base` up to `limit`. Used for the retries of one request. Not thread-safe.
class Backoff {
public:
    static constexpr Model::Duration defaultBase = std::chrono::milliseconds(10);
    static constexpr Model::Duration defaultLimit = std::chrono::seconds(1);

    explicit Backoff(Model::Duration base = defaultBase, Model::Duration limit = defaultLimit);

    /// The time of the next attempt; `std::nullopt` if it would not be before `deadline`.
    std::optional<Model::Time> next(Model::Time now, Model::Time deadline, std::mt19937_64& generator);

private:
    Model::Duration m_current;
    Model::Duration m_limit;
};

}
