#include "peerbus/peerbus.h"

#include "eventloop/loop.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include <uv.h>
#include <zmq.hpp>

namespace PeerBus {

namespace {

    /// Messages queued for each peer. The limit is low since each report replaces the previous one: a queue
    /// would only deliver outdated reports.
    constexpr int highWaterMark = 8;
    constexpr int heartbeatIntervalMs = 1000;
    constexpr int heartbeatTimeoutMs = 2500;
    constexpr int minReconnectMs = 200;
    constexpr int maxReconnectMs = 500;
    /// The operating system repeats a lost connection request only after seconds.
    constexpr int connectTimeoutMs = 500;

    /// A report of a fleet of the design size has less than half of it.
    constexpr std::int64_t maxReportBytes = 1024L * 1024;
    /// Subscribers send only the prefixes of the messages that they want.
    constexpr std::int64_t maxSubscriptionBytes = 4096;

    std::string endpoint(const std::string& address) { return "tcp://" + address; }

    void configure(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, highWaterMark);
        // The heartbeat detects unresponsive connections; ZeroMQ opens them again.
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
        socket.set(zmq::sockopt::reconnect_ivl, minReconnectMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMs);
        socket.set(zmq::sockopt::connect_timeout, connectTimeoutMs);
    }

}

struct Bus::Private {
    /// By prefix.
    std::map<std::string, ReceiveHook> subscriptions;
    zmq::context_t context { 1 };
    zmq::socket_t publisher { context, zmq::socket_type::pub };
    zmq::socket_t subscriber { context, zmq::socket_type::sub };
    uv_poll_t* poll = nullptr;
    std::set<std::string> peers;
    int port = 0;

    // The descriptor of a ZeroMQ socket is edge-triggered: it signals a change of the socket's state, not
    // that unread messages remain. All messages are read therefore, also after each call that may change the
    // state.
    void receivePending()
    {
        zmq::message_t message;
        while (subscriber.recv(message, zmq::recv_flags::dontwait))
            dispatch({ message.data<char>(), message.size() });
    }

    void dispatch(std::string_view message) const
    {
        for (const auto& [prefix, received] : subscriptions) {
            if (message.starts_with(prefix))
                received(message);
        }
    }

    static void onReadable(uv_poll_t* handle, int /*status*/, int /*events*/)
    {
        static_cast<Private*>(handle->data)->receivePending();
    }
};

Bus::Bus(EventLoop::Loop& loop)
    : m_d(std::make_unique<Private>())
{
    configure(m_d->publisher);
    configure(m_d->subscriber);
    m_d->publisher.set(zmq::sockopt::maxmsgsize, maxSubscriptionBytes);
    m_d->subscriber.set(zmq::sockopt::maxmsgsize, maxReportBytes);
    m_d->poll = new uv_poll_t {};
    m_d->poll->data = m_d.get();
    uv_poll_init(loop.handle(), m_d->poll, m_d->subscriber.get(zmq::sockopt::fd));
    uv_poll_start(m_d->poll, UV_READABLE, &Private::onReadable);
}

Bus::~Bus()
{
    uv_close(reinterpret_cast<uv_handle_t*>(m_d->poll),
        [](uv_handle_t* handle) { delete reinterpret_cast<uv_poll_t*>(handle); });
}

std::optional<std::string> Bus::listen(const std::string& ip, int firstPort, int lastPort)
{
    std::string error;
    for (int port = firstPort; port <= lastPort; ++port) {
        try {
            m_d->publisher.bind(endpoint(ip + ":" + std::to_string(port)));
            m_d->port = port;
            return std::nullopt;
        } catch (const zmq::error_t& failure) {
            error = failure.what();
        }
    }
    return "cannot bind any peer port on " + ip + ": " + error;
}

void Bus::subscribe(const std::string& prefix, ReceiveHook received)
{
    m_d->subscriptions.insert_or_assign(prefix, std::move(received));
    m_d->subscriber.set(zmq::sockopt::subscribe, prefix);
}

int Bus::port() const { return m_d->port; }

void Bus::setPeers(const std::set<std::string>& addresses)
{
    std::vector<std::string> removed;
    std::ranges::set_difference(m_d->peers, addresses, std::back_inserter(removed));
    for (const std::string& address : removed)
        m_d->subscriber.disconnect(endpoint(address));
    std::vector<std::string> added;
    std::ranges::set_difference(addresses, m_d->peers, std::back_inserter(added));
    for (const std::string& address : added)
        m_d->subscriber.connect(endpoint(address));
    m_d->peers = addresses;
    m_d->receivePending();
}

void Bus::publish(std::string_view message)
{
    m_d->publisher.send(zmq::buffer(message), zmq::send_flags::dontwait);
    m_d->receivePending();
}

}
