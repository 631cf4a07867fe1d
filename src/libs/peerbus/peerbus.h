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

/// Sends messages to all other hosts and receives theirs, over ZeroMQ. A message that a host cannot take now
/// is lost to it. Used on the loop's thread.
class Bus {
public:
    using ReceiveHook = std::function<void(std::string_view message)>;

    Bus(EventLoop::Loop& loop, ReceiveHook received);
    ~Bus();
    Bus(const Bus&) = delete;
    Bus& operator=(const Bus&) = delete;

    /// Listens on the first free port of a range. Returns what went wrong, if anything.
    std::optional<std::string> listen(const std::string& ip, int firstPort, int lastPort);
    /// The port that is listened on; 0 before `listen`.
    int port() const;

    /// The addresses (IP:PORT) of the other hosts.
    void setPeers(const std::set<std::string>& addresses);
    void publish(std::string_view message);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
