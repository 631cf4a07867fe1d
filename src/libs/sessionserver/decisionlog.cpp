#include "sessionserver/decisionlog.h"

#include "logging/log.h"

namespace SessionServer {

namespace {

    /// Ids may be as long as a message.
    constexpr std::size_t maxFieldBytes = 200;

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
    const auto omitted = m_budgets.at(kind).take(now);
    if (!omitted)
        return;
    Logging::write(events.at(kind),
        { { "request", decision.request.substr(0, maxFieldBytes) },
            { "database", decision.database.substr(0, maxFieldBytes) }, { "customer", decision.customer },
            { "upstream", decision.upstream },
            { "result", std::string(Proxy::resultInfo(decision.code).name) },
            { "reason", std::string(decision.reason) }, { "inputs", decision.inputs },
            { "ageMs", milliseconds(decision.age) }, { "attempts", std::to_string(decision.attempts) },
            { "configuration", std::to_string(decision.configuration) },
            { "omitted", std::to_string(*omitted) } });
}

}
