#include "sessionserver/decisionlog.h"

#include "logging/log.h"

#include <algorithm>

namespace SessionServer {

namespace {

    /// Log lines per second for each kind of decision; the next written line reports how many were omitted.
    constexpr double linesPerSecond = 20;
    /// Log lines of one kind that may be written at once.
    constexpr double burst = 100;

    /// In the order of `DecisionKind`.
    constexpr std::array events { Logging::EventId::RequestRefused, Logging::EventId::RequestRetried,
        Logging::EventId::RequestInDoubt, Logging::EventId::TransactionAborted,
        Logging::EventId::SessionRejected, Logging::EventId::UpstreamConnectionRefused,
        Logging::EventId::UpstreamConnectionLost, Logging::EventId::RequestRefusedByEstimate,
        Logging::EventId::ReadsLeftZone, Logging::EventId::ReadsReturnedToZone,
        Logging::EventId::UpstreamSetAside, Logging::EventId::UpstreamTakenBack };

    std::string milliseconds(Model::Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

}

void DecisionLog::write(const Proxy::Decision& decision, Model::Time now)
{
    const auto kind = static_cast<std::size_t>(decision.kind);
    Budget& budget = m_budgets.at(kind);
    const double elapsed = std::chrono::duration<double>(now - budget.refilledAt).count();
    budget.lines = std::min(burst, budget.lines + elapsed * linesPerSecond);
    budget.refilledAt = now;
    if (budget.lines < 1) {
        ++budget.omitted;
        return;
    }
    budget.lines -= 1;
    Logging::write(events.at(kind),
        { { "request", decision.request }, { "database", decision.database },
            { "customer", decision.customer }, { "upstream", decision.upstream },
            { "result", std::string(Proxy::resultInfo(decision.code).name) },
            { "reason", std::string(decision.reason) }, { "inputs", decision.inputs },
            { "ageMs", milliseconds(decision.age) }, { "attempts", std::to_string(decision.attempts) },
            { "configuration", std::to_string(decision.configuration) },
            { "omitted", std::to_string(budget.omitted) } });
    budget.omitted = 0;
}

}
