#pragma once

#include "core/proxy/decision.h"

#include <array>
#include <cstdint>

namespace SessionServer {

/// Writes the engine's decisions to the log, at a limited rate for each kind of decision. Used on one thread.
class DecisionLog {
public:
    void write(const Proxy::Decision& decision, Model::Time now);

private:
    /// Token bucket of the log lines of one kind.
    struct Budget {
        double lines = 0;
        Model::Time refilledAt;
        /// Lines not written since the last written one.
        std::uint64_t omitted = 0;
    };

    std::array<Budget, 12> m_budgets;
};

}
