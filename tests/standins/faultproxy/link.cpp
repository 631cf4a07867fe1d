#include "faultproxy/link.h"

#include <algorithm>
#include <array>
#include <thread>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Standins {

namespace {

    constexpr int backlog = 1024;
    constexpr std::size_t readSize = 65536;

    sockaddr_in socketAddress(const Settings::Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
        return result;
    }

    int listenOn(const Settings::Address& address)
    {
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in bound = socketAddress(address);
        const bool isBound = bind(listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) == 0;
        if (isBound && listen(listener, backlog) == 0)
            return listener;
        close(listener);
        return -1;
    }

    int connectTo(const Settings::Address& address)
    {
        const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in remote = socketAddress(address);
        if (connect(target, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) == 0)
            return target;
        close(target);
        return -1;
    }

    void disableDelay(int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    bool sendAll(int socket, const std::string& data)
    {
        for (std::size_t sent = 0; sent < data.size();) {
            const ssize_t size = send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

}

Link::Link(std::string name, const Settings::Address& listen, Settings::Address target)
    : m_name(std::move(name))
    , m_target(std::move(target))
    , m_listener(listenOn(listen))
{
}

Link::Connection::~Connection()
{
    close(client);
    close(target);
}

void Link::Connection::shutDown() const
{
    shutdown(client, SHUT_RDWR);
    shutdown(target, SHUT_RDWR);
}

std::uint16_t Link::port() const
{
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

void Link::run()
{
    while (true) {
        const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            continue;
        const int target = connectTo(m_target);
        if (target < 0) {
            close(client);
            continue;
        }
        disableDelay(client);
        disableDelay(target);
        auto connection = std::make_shared<Connection>();
        connection->client = client;
        connection->target = target;
        const std::scoped_lock lock(m_mutex);
        ++m_openedCount;
        std::erase_if(m_connections, [](const auto& pointer) { return pointer.expired(); });
        m_connections.push_back(connection);
        for (const Direction direction : { Direction::ToTarget, Direction::ToClient })
            std::thread([this, connection, direction] { pump(connection, direction); }).detach();
    }
}

void Link::pump(const std::shared_ptr<Connection>& connection, Direction direction)
{
    const bool isToTarget = direction == Direction::ToTarget;
    const int from = isToTarget ? connection->client : connection->target;
    std::array<char, readSize> buffer {};
    bool isOpen = true;
    while (isOpen) {
        const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        isOpen = forward(*connection, direction, { buffer.data(), static_cast<std::size_t>(size) });
    }
    Lock lock(m_mutex);
    if (isOpen)
        waitUntilUnblocked(*connection, direction, lock);
    // A frozen connection stays open for the client even after the target has closed its side.
    if (isToTarget || !connection->isFrozen)
        connection->shutDown();
}

bool Link::forward(Connection& connection, Direction direction, const std::string& data)
{
    Lock lock(m_mutex);
    if (direction == Direction::ToTarget) {
        if (connection.isResponding)
            connection.request.clear();
        connection.isResponding = false;
        connection.request += data;
    } else if (!connection.isResponding) {
        connection.isResponding = true;
        if (m_remainingLosses > 0 && matches(connection)) {
            --m_remainingLosses;
            ++m_lostResponses;
            return false;
        }
        if (m_remainingHolds > 0 && matches(connection)) {
            --m_remainingHolds;
            m_heldConnections.push_back(&connection);
            m_changed.notify_all();
        }
    }
    waitUntilUnblocked(connection, direction, lock);
    const auto delay = m_delay;
    const bool isDiscarded = connection.isFrozen;
    lock.unlock();
    if (delay.count() > 0)
        std::this_thread::sleep_for(delay);
    const int to = direction == Direction::ToTarget ? connection.target : connection.client;
    const bool isOpen = isDiscarded || sendAll(to, data);
    lock.lock();
    if (direction == Direction::ToClient && std::erase(m_heldConnections, &connection) > 0)
        m_changed.notify_all();
    return isOpen;
}

void Link::waitUntilUnblocked(const Connection& connection, Direction direction, Lock& lock)
{
    m_changed.wait(lock, [&] {
        if (connection.isFrozen)
            return true;
        return direction == Direction::ToTarget ? !m_blocksToTarget
                                                : !m_blocksToClient && !isHeld(connection);
    });
}

bool Link::matches(const Connection& connection) const
{
    return m_match.empty() || connection.request.find(m_match) != std::string::npos;
}

bool Link::isHeld(const Connection& connection) const
{
    const bool isListed = std::ranges::find(m_heldConnections, &connection) != m_heldConnections.end();
    return isListed && (m_remainingHolds > 0 || m_heldConnections.back() != &connection);
}

void Link::configure(const Json& body)
{
    const std::scoped_lock lock(m_mutex);
    m_blocksToTarget = body.value("cutToTarget", m_blocksToTarget);
    m_blocksToClient = body.value("cutToClient", m_blocksToClient);
    m_delay = std::chrono::milliseconds(body.value("delayMs", m_delay.count()));
    m_match = body.value("match", m_match);
    m_remainingLosses = body.value("loseAnswers", m_remainingLosses);
    m_remainingHolds = body.value("holdAnswers", m_remainingHolds);
    if (body.value("resetExisting", false)) {
        for (const auto& pointer : m_connections) {
            if (const auto connection = pointer.lock())
                connection->shutDown();
        }
    }
    if (body.value("freezeExisting", false)) {
        for (const auto& pointer : m_connections) {
            const auto connection = pointer.lock();
            if (!connection || connection->isFrozen)
                continue;
            connection->isFrozen = true;
            ++m_frozenCount;
        }
    }
    m_changed.notify_all();
}

Json Link::state() const
{
    const std::scoped_lock lock(m_mutex);
    const auto open
        = std::ranges::count_if(m_connections, [](const auto& pointer) { return !pointer.expired(); });
    return { { "connections", open }, { "opened", m_openedCount }, { "frozen", m_frozenCount },
        { "lostAnswers", m_lostResponses }, { "holding", m_heldConnections.size() } };
}

}
