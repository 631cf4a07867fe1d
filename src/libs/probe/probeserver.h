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
    /// Path of the readiness probe.
    std::string path;
};

/// HTTP server for the load balancer's readiness probe and for `/metrics`. It runs on its own thread. The
/// probe is answered with 200 if the process is ready, otherwise with 503.
class ProbeServer {
public:
    ProbeServer(ProbeSettings settings, const Metrics::Registry& metrics);
    ~ProbeServer();
    ProbeServer(const ProbeServer&) = delete;
    ProbeServer& operator=(const ProbeServer&) = delete;

    /// Starts to listen. Returns an error message, or `nullopt` on success.
    std::optional<std::string> start();
    /// Sets the result of the probe, at first not ready. Any thread may call it.
    void setReady(bool isReady) { m_isReady = isReady; }

private:
    struct Private;
    ProbeSettings m_settings;
    const Metrics::Registry& m_metrics;
    std::atomic<bool> m_isReady = false;
    std::unique_ptr<Private> m_d;
};

}
