#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Datapath {

enum class Target : std::uint8_t {
    /// A host's interface for callers.
    Host,
    /// A database stand-in, contacted directly.
    Database,
};

struct LoadSettings {
    Target target = Target::Host;
    /// IP:PORT of each target; the connections are assigned to the targets in turn.
    std::vector<std::string> addresses;
    /// Route and key of the requests, for `Target::Host` only. Without a key, no credentials are sent.
    std::string route;
    std::string key;
    std::string sql = "GET k";
    bool isWrite = false;
    /// Connections that send requests concurrently, each on its own thread.
    int connections = 1;
    /// Additional connections that send one request before the measurement and then stay open.
    int idleConnections = 0;
    int requestsPerConnection = 1000;
};

struct LoadResult {
    /// Requests answered with status 200, without those of idle connections.
    std::uint64_t done = 0;
    /// All other requests, including those of idle connections.
    std::uint64_t failed = 0;
    double requestsPerSecond = 0;
    /// Latencies of the requests done.
    std::chrono::microseconds median {};
    std::chrono::microseconds percentile99 {};
};

/// Sends the requests and measures their latencies. `whileOpen` is called after the last request, with all
/// connections still open.
LoadResult run(const LoadSettings& settings, const std::function<void()>& whileOpen);

/// Returns the number in a field of /proc/PID/status, for example `VmRSS` (KiB) or `Threads`; -1 if the
/// process or the field does not exist.
long processStatus(int pid, const std::string& field);
/// Returns the user and system time that a process has used so far, from /proc/PID/stat, in ms.
std::chrono::milliseconds processTime(int pid);

}
