#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Datapath {

enum class Target : std::uint8_t {
    /// The callers' interface of a host.
    Host,
    /// A database stand-in, without a host between.
    Database,
};

struct LoadSettings {
    Target target = Target::Host;
    /// IP:PORT of each target; connections are spread over them.
    std::vector<std::string> addresses;
    std::string route;
    std::string key;
    std::string sql = "GET k";
    bool isWrite = false;
    /// Connections that send requests, one thread each.
    int connections = 1;
    /// Further connections that send one request and then stay open.
    int idleConnections = 0;
    int requestsPerConnection = 1000;
};

struct LoadResult {
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    double requestsPerSecond = 0;
    std::chrono::microseconds median {};
    std::chrono::microseconds percentile99 {};
};

/// Sends the requests and measures their latencies. `whileOpen` is called after the last request, with all
/// connections still open.
LoadResult run(const LoadSettings& settings, const std::function<void()>& whileOpen);

/// A number in /proc/PID/status, for example `VmRSS` (KiB) or `Threads`; -1 if there is none.
long processStatus(int pid, const std::string& field);
/// Processor time of a process so far.
std::chrono::milliseconds processTime(int pid);

}
