#pragma once

#include "admin/adminrouter.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Admin {

struct AdminServerSettings {
    std::string ip;
    /// With 0, the system chooses a free port.
    std::uint16_t port = 0;
    /// Bearer token of operators.
    std::string operatorSecret;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    /// Maximum number of open connections; further ones are closed at once. Bounds the memory for bodies,
    /// since each connection may hold one.
    int maxConnections = 32;
};

/// The HTTP server for operators. Owns the listening socket and one thread per connection.
class AdminServer {
public:
    AdminServer(AdminServerSettings settings, AdminHooks hooks);
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// Starts to listen on the address. Returns an error message on failure.
    std::optional<std::string> start();
    /// The port on which the server listens; 0 if it does not listen.
    std::uint16_t port() const;
    /// Closes the socket and all connections.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

}
