#pragma once

#include "core/proxy/command.h"
#include "sessionserver/logbudget.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace Metrics {
class Counter;
class Registry;
}

namespace SessionServer {

/// Limits of what clients may occupy. docs/proxysettings.md describes them.
struct ClientLimits {
    /// Memory for all clients of the process together.
    std::size_t memoryBytes = 256UL * 1024 * 1024;
    /// While more statements of a session are waiting, nothing more is read from it.
    std::size_t pipelinedBytes = 2UL * 1024 * 1024;
    /// Time for a message from its first byte to its last one.
    Model::Duration messageTimeout = std::chrono::seconds(30);
};

/// A limit that a client has reached.
enum class ClientLimit : std::uint8_t {
    /// Memory of all clients together; the client that occupied the most was disconnected.
    Memory,
    /// Memory of one client.
    ClientMemory,
    MessageTimeout,
    MessageLength,
    UnreadAnswers,
    PipelinedStatements,
    Sessions,
    /// Reading was paused, because statements or answers wait.
    PausedReading,
    SessionValues,
};

/// Counts and logs the limits that clients reach. Lines of each limit are written at a limited rate.
class ClientLimitLog {
public:
    explicit ClientLimitLog(Metrics::Registry& metrics);

    /// `session` is 0 for a connection that was not accepted.
    void reached(ClientLimit limit, Proxy::SessionId session, std::size_t bytes, Model::Time now);

private:
    static constexpr std::size_t limitCount = 9;

    std::array<Metrics::Counter*, limitCount> m_counters {};
    std::array<LogBudget, limitCount> m_budgets;
};

}
