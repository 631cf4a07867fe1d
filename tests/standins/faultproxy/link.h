#pragma once

#include "common/httpserver.h"
#include "settings/hostsettings.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace Standins {

/// Forwards TCP connections from one address to another and injects faults. Owns the sockets and two
/// threads for each connection; any thread may call it.
class Link {
public:
    Link(std::string name, const Settings::Address& listen, Settings::Address target);

    const std::string& name() const { return m_name; }
    bool isListening() const { return m_listener >= 0; }
    std::uint16_t port() const;
    /// Accepts connections; does not return.
    void run();
    /// Sets the faults named in the body. main.cpp describes the fields.
    void configure(const Json& body);
    Json state() const;

private:
    enum class Direction : std::uint8_t { ToTarget, ToClient };
    using Lock = std::unique_lock<std::mutex>;

    struct Connection {
        int client = -1;
        int target = -1;
        /// What the client sent since the last answer.
        std::string request;
        bool isResponding = false;
        bool isFrozen = false;

        ~Connection();
        void shutDown() const;
    };

    void pump(const std::shared_ptr<Connection>& connection, Direction direction);
    /// Applies the faults to one piece of data and sends it on; false ends the connection.
    bool forward(Connection& connection, Direction direction, const std::string& data);
    /// Returns when the data may pass or the connection is frozen.
    void waitUntilUnblocked(const Connection& connection, Direction direction, Lock& lock);
    bool matches(const Connection& connection) const;
    bool isHeld(const Connection& connection) const;

    std::string m_name;
    Settings::Address m_target;
    int m_listener = -1;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::weak_ptr<Connection>> m_connections;
    /// Connections whose answers are held back, in the order of arrival. The last one is released first.
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
