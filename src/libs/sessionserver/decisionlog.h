#pragma once

#include "core/proxy/decision.h"
#include "sessionserver/logbudget.h"

#include <array>

namespace SessionServer {

/// Writes the engine's decisions to the log, at a limited rate for each kind of decision. Used on one thread.
class DecisionLog {
public:
    void write(const Proxy::Decision& decision, Model::Time now);

private:
    std::array<LogBudget, 12> m_budgets;
};

}
