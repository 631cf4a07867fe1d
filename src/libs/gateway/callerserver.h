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
    /// Maximum number of open connections; further ones are closed at once.
    int maxConnections = 4096;
    /// Stack of the thread that serves a connection, in bytes.
    std::size_t stackBytes = 256UL * 1024;
};

struct CallerHooks {
    /// Processes one request and blocks until its response is known. Called on the thread of the caller's
    /// connection, several at a time.
    std::function<CallerResponse(const CallerRequest&)> serve;
    /// Returns the current limit for the size of a request body, in bytes.
    std::function<std::size_t()> maxBodyBytes;
};

/// The HTTP server for callers. Owns the listening socket and one thread per connection.
class CallerServer {
public:
    CallerServer(CallerServerSettings settings, CallerHooks hooks);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// Starts to listen on the address. Returns an error message on failure.
    std::optional<std::string> start();
    /// Adds the header `Connection: close` to all further responses, so that each connection ends after its
    /// next response.
    void beginDrain();
    /// Closes the listening socket; open connections are still served. Blocks for a short grace period, in
    /// which TCP handshakes in progress complete.
    void stopAccepting();
    /// Number of requests whose response has not been sent completely.
    int runningRequests() const;
    /// Number of open connections, including idle ones.
    int openConnections() const;
    /// Closes the socket and all connections.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
