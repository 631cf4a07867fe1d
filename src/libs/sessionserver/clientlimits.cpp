#include "sessionserver/clientlimits.h"

#include "logging/log.h"
#include "metrics/registry.h"

namespace SessionServer {

namespace {

    struct LimitInfo {
        Logging::EventId event;
        /// Label of the counter.
        const char* name;
    };

    using Logging::EventId;

    /// In the order of `ClientLimit`.
    constexpr std::array<LimitInfo, 9> limits { {
        { EventId::ClientMemoryExhausted, "memory" },
        { EventId::ClientMemoryExceeded, "client_memory" },
        { EventId::MessageIncomplete, "message_timeout" },
        { EventId::MessageTooLong, "message_length" },
        { EventId::AnswersNotRead, "unread_answers" },
        { EventId::TooManyPipelined, "pipelined_statements" },
        { EventId::TooManySessions, "sessions" },
        { EventId::ReadingPaused, "paused_reading" },
        { EventId::SessionValuesRefused, "session_values" },
    } };

}

ClientLimitLog::ClientLimitLog(Metrics::Registry& metrics)
{
    for (std::size_t i = 0; i < limits.size(); ++i) {
        m_counters.at(i) = &metrics.counter(
            "parsleytack_client_limits_total", "limit=\"" + std::string(limits.at(i).name) + "\"");
    }
}

void ClientLimitLog::reached(ClientLimit limit, Proxy::SessionId session, std::size_t bytes, Model::Time now)
{
    const auto index = static_cast<std::size_t>(limit);
    m_counters.at(index)->add();
    const auto omitted = m_budgets.at(index).take(now);
    if (!omitted)
        return;
    Logging::write(limits.at(index).event,
        { { "session", std::to_string(session) }, { "bytes", std::to_string(bytes) },
            { "omitted", std::to_string(*omitted) } });
}

}
