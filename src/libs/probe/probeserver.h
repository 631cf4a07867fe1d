#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Metrics {
class Registry;
}

namespace Probe {

struct ProbeSettings {
    std::string ip;
    std::uint16_t port = 0;
    /// Path that the balancer asks for.
    std::string path;
};

/// Answers the balancer's readiness probe and serves the metrics, on one thread of its own.
class ProbeServer {
public:
    ProbeServer(ProbeSettings settings, const Metrics::Registry& metrics);
    ~ProbeServer();
    ProbeServer(const ProbeServer&) = delete;
    ProbeServer& operator=(const ProbeServer&) = delete;

    /// Returns what went wrong, if anything.
    std::optional<std::string> start();
    /// Any thread may call it.
    void setReady(bool isReady) { m_isReady = isReady; }

private:
    struct Private;
    ProbeSettings m_settings;
    const Metrics::Registry& m_metrics;
    std::atomic<bool> m_isReady = false;
    std::unique_ptr<Private> m_d;
};

}
