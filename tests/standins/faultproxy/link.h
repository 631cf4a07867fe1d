#pragma once

#include "common/httpserver.h"
#include "settings/hostsettings.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace Standins {

/// Proxy that forwards TCP connections from one address to another and injects faults. Owns the sockets, and
/// runs two threads for each connection. Thread-safe.
class Link {
public:
    Link(std::string name, const Settings::Address& listen, Settings::Address target);

    const std::string& name() const { return m_name; }
    bool isListening() const { return m_listener >= 0; }
    std::uint16_t port() const;
    /// Accepts connections and forwards them; does not return.
    void run();
    /// Sets the faults that the body contains and leaves the others as they are. main.cpp describes the
    /// fields.
    void configure(const Json& body);
    /// Numbers of connections, and of lost and held responses.
    Json state() const;

private:
    enum class Direction : std::uint8_t { ToTarget, ToClient };
    using Lock = std::unique_lock<std::mutex>;

    struct Connection {
        int client = -1;
        int target = -1;
        /// Data that the client has sent since the last response.
        std::string request;
        /// The target has sent data since the client last did.
        bool isResponding = false;
        /// The sockets stay open, but all data is discarded.
        bool isFrozen = false;

        ~Connection();
        void shutDown() const;
    };

    void pump(const std::shared_ptr<Connection>& connection, Direction direction);
    /// Applies the faults to data of one recv() call and forwards it. Returns false if the connection must be
    /// closed.
    bool forward(Connection& connection, Direction direction, const std::string& data);
    /// Returns when data of this direction is no longer blocked or held, or the connection is frozen.
    void waitUntilUnblocked(const Connection& connection, Direction direction, Lock& lock);
    bool matches(const Connection& connection) const;
    bool isHeld(const Connection& connection) const;

    std::string m_name;
    Settings::Address m_target;
    int m_listener = -1;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::weak_ptr<Connection>> m_connections;
    /// Connections whose responses are held, in the order of arrival. They are released in reverse order.
    std::vector<const Connection*> m_heldConnections;
    bool m_blocksToTarget = false;
    bool m_blocksToClient = false;
    std::chrono::milliseconds m_delay { 0 };
    std::uint64_t m_remainingLosses = 0;
    std::uint64_t m_remainingHolds = 0;
    std::string m_match;
    std::uint64_t m_openedCount = 0;
    std::uint64_t m_lostResponses = 0;
    std::uint64_t m_frozenCount = 0;
};

}
