#pragma once

#include "core/proxy/decision.h"

#include <array>
#include <cstdint>

namespace SessionServer {

/// Writes the engine's decisions to the log, a bounded number a second of each kind. Used on one thread.
class DecisionLog {
public:
    void write(const Proxy::Decision& decision, Model::Time now);

private:
    struct Budget {
        double lines = 0;
        Model::Time refilledAt;
        std::uint64_t omitted = 0;
    };

    std::array<Budget, 7> m_budgets;
};

}
