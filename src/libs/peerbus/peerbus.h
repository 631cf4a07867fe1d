#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace EventLoop {
class Loop;
}

namespace PeerBus {

/// Publishes messages to all other hosts and receives theirs, over ZeroMQ PUB and SUB sockets. Delivery is
/// best effort: a message is lost for a host that is not connected or whose queue is full. Used on the loop's
/// thread.
class Bus {
public:
    using ReceiveHook = std::function<void(std::string_view message)>;

    explicit Bus(EventLoop::Loop& loop);
    ~Bus();
    Bus(const Bus&) = delete;
    Bus& operator=(const Bus&) = delete;

    /// Listens on the first free port from `firstPort` to `lastPort`. Returns an error message, or `nullopt`
    /// on success.
    std::optional<std::string> listen(const std::string& ip, int firstPort, int lastPort);
    /// The port that the bus listens on; 0 before `listen` has succeeded.
    int port() const;

    /// Receives the messages that start with `prefix`; messages without a subscription are not sent to this
    /// host. No prefix may be the start of another one.
    void subscribe(const std::string& prefix, ReceiveHook received);
    /// Sets the addresses (IP:PORT) of the hosts whose messages are received, and disconnects from all
    /// others.
    void setPeers(const std::set<std::string>& addresses);
    /// Sends `message` to all connected hosts that have subscribed to a prefix of it, and does not block.
    void publish(std::string_view message);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
