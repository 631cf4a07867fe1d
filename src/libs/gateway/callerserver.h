#pragma once

#include "gateway/callerrequest.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

struct CallerServerSettings {
    std::string ip;
    std::uint16_t port = 0;
    /// Connections beyond this are closed at once.
    int maxConnections = 4096;
    /// Stack of the thread that serves a connection, in bytes.
    std::size_t stackBytes = 256UL * 1024;
};

struct CallerHooks {
    /// Serves one request and blocks until its answer is known. Called on the connection's thread.
    std::function<CallerResponse(const CallerRequest&)> serve;
    /// Largest body in bytes that is in force now.
    std::function<std::size_t()> maxBodyBytes;
};

/// The HTTP interface for callers. Owns the listening socket and one thread a connection.
class CallerServer {
public:
    CallerServer(CallerServerSettings settings, CallerHooks hooks);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// Returns what went wrong, if anything.
    std::optional<std::string> start();
    /// Asks callers to close their connections after the next answer.
    void beginDrain();
    /// Accepts no more connections; the open ones go on.
    void stopAccepting();
    /// Requests whose response is not sent completely yet.
    int runningRequests() const;
    /// Open connections, idle ones included.
    int openConnections() const;
    /// Closes the socket and all connections.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
