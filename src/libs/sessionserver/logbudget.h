#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <optional>

namespace SessionServer {

/// Token bucket that limits the rate of the log lines of one kind. Used on one thread.
class LogBudget {
public:
    /// Returns how many lines were omitted since the last written one if another line may be written now;
    /// otherwise counts it as omitted and returns `nullopt`.
    std::optional<std::uint64_t> take(Model::Time now);

private:
    double m_lines = 0;
    Model::Time m_refilledAt;
    std::uint64_t m_omitted = 0;
};

}
