#pragma once

#include "admin/adminrouter.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Admin {

struct AdminServerSettings {
    std::string ip;
    /// 0 lets the system choose.
    std::uint16_t port = 0;
    /// Bearer token of operators.
    std::string operatorSecret;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    /// Connections beyond this are closed at once; each may hold one body.
    int maxConnections = 32;
};

/// The HTTP interface for operators. Owns the listening socket and one thread a connection.
class AdminServer {
public:
    AdminServer(AdminServerSettings settings, AdminHooks hooks);
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// Returns what went wrong, if anything.
    std::optional<std::string> start();
    /// The port on which the server listens.
    std::uint16_t port() const;
    /// Closes the socket and all connections.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

}
