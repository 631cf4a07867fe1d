#include "faultproxy/link.h"

#include <algorithm>
#include <array>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Standins {

namespace {

    constexpr int backlog = 1024;
    constexpr std::size_t readSize = 65536;
    constexpr std::size_t maxPendingSize = 4194304;
    constexpr int idlePollMs = 1000;
    // An answer counts as whole when nothing has followed for this time.
    constexpr std::chrono::milliseconds heldQuietTime { 20 };

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

    short readable(bool isWanted) { return isWanted ? POLLIN : 0; }

}

Link::Link(std::string name, const Settings::Address& listen, Settings::Address target)
    : m_name(std::move(name))
    , m_target(std::move(target))
    , m_listener(listenOn(listen))
    , m_wakeUp(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
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
    std::vector<pollfd> polled;
    while (true) {
        std::unique_lock lock(m_mutex);
        std::erase_if(m_connections, [](const auto& connection) { return connection->isFinished; });
        polled.assign({ { m_listener, POLLIN, 0 }, { m_wakeUp, POLLIN, 0 } });
        for (const auto& connection : m_connections) {
            const Direction& up = connection->toTarget;
            const Direction& down = connection->toClient;
            const bool readsClient = !up.isClosed && up.pendingSize < maxPendingSize;
            const bool readsTarget
                = !connection->isFrozen && !down.isClosed && down.pendingSize < maxPendingSize;
            // Without a wanted event the socket is left out, since poll always reports POLLHUP.
            polled.push_back({ readsClient ? connection->client : -1, readable(readsClient), 0 });
            polled.push_back({ readsTarget ? connection->target : -1, readable(readsTarget), 0 });
        }
        const std::size_t count = m_connections.size();
        const int timeout = pollTimeoutMs();
        lock.unlock();
        poll(polled.data(), polled.size(), timeout);
        lock.lock();
        std::uint64_t ignored = 0;
        [[maybe_unused]] const ssize_t size = read(m_wakeUp, &ignored, sizeof ignored);
        for (std::size_t index = 0; index < count; ++index)
            serve(*m_connections[index], polled[2 + 2 * index].revents, polled[3 + 2 * index].revents);
        if (polled[0].revents != 0)
            accept();
        releaseHeld();
        for (const auto& connection : m_connections)
            flush(*connection);
    }
}

int Link::pollTimeoutMs() const
{
    if (!m_held.empty())
        return 1;
    const bool isWaiting = std::ranges::any_of(m_connections, [](const auto& connection) {
        return !connection->toTarget.pending.empty() || !connection->toClient.pending.empty();
    });
    return isWaiting ? 1 : idlePollMs;
}

void Link::accept()
{
    const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0)
        return;
    const int target = m_refusesNew ? -1 : connectTo(m_target);
    if (target < 0) {
        close(client);
        return;
    }
    disableDelay(client);
    disableDelay(target);
    auto connection = std::make_unique<Connection>();
    connection->client = client;
    connection->target = target;
    m_connections.push_back(std::move(connection));
    ++m_opened;
}

void Link::serve(Connection& connection, short clientEvents, short targetEvents)
{
    if (clientEvents != 0)
        readRequest(connection);
    if (targetEvents != 0 && !connection.isFinished)
        readAnswer(connection);
}

bool Link::readInto(int socket, Direction& direction, std::string& data)
{
    std::array<char, readSize> buffer {};
    const ssize_t size = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
    if (size <= 0) {
        direction.isClosed = true;
        return false;
    }
    data.assign(buffer.data(), static_cast<std::size_t>(size));
    return true;
}

void Link::readRequest(Connection& connection)
{
    std::string data;
    const bool isOpen = readInto(connection.client, connection.toTarget, data);
    if (connection.isFrozen) {
        connection.isFinished = !isOpen;
        if (connection.isFinished) {
            std::erase(m_held, &connection);
            close(connection.client);
            close(connection.target);
        }
        return;
    }
    if (connection.isAnswering)
        connection.request.clear();
    connection.isAnswering = false;
    connection.request += data;
    enqueue(connection.toTarget, std::move(data));
}

bool Link::matches(const Connection& connection) const
{
    return m_match.empty() || connection.request.find(m_match) != std::string::npos;
}

void Link::readAnswer(Connection& connection)
{
    std::string data;
    readInto(connection.target, connection.toClient, data);
    const bool startsAnswer = !data.empty() && !connection.isAnswering;
    connection.isAnswering = connection.isAnswering || !data.empty();
    if (startsAnswer && m_lossesLeft > 0 && matches(connection)) {
        --m_lossesLeft;
        ++m_lost;
        connection.toClient.isClosed = true;
        connection.toTarget.isClosed = true;
        return;
    }
    if (startsAnswer && m_holdsLeft > 0 && matches(connection)) {
        --m_holdsLeft;
        ++m_heldAnswers;
        connection.isHeld = true;
        m_held.push_back(&connection);
    }
    if (connection.isHeld && !data.empty())
        m_lastHeldData = Clock::now();
    enqueue(connection.toClient, std::move(data));
}

void Link::enqueue(Direction& direction, std::string data)
{
    if (data.empty())
        return;
    direction.pendingSize += data.size();
    direction.pending.push_back({ Clock::now() + m_delay, std::move(data) });
}

void Link::releaseHeld()
{
    if (m_held.empty() || m_holdsLeft > 0 || Clock::now() < m_lastHeldData + heldQuietTime)
        return;
    for (auto held = m_held.rbegin(); held != m_held.rend(); ++held) {
        (*held)->isHeld = false;
        flush(**held);
    }
    m_held.clear();
}

void Link::flush(Connection& connection)
{
    if (connection.isFinished || connection.isFrozen)
        return;
    flushDirection(connection.target, connection.toTarget, m_cutsToTarget, connection);
    flushDirection(connection.client, connection.toClient, m_cutsToClient || connection.isHeld, connection);
    // A held connection stays until its release, because `m_held` refers to it.
    if (connection.isHeld || !connection.toTarget.isShutDown || !connection.toClient.isShutDown)
        return;
    close(connection.client);
    close(connection.target);
    connection.isFinished = true;
}

void Link::flushDirection(int socket, Direction& direction, bool isBlocked, Connection& connection)
{
    if (isBlocked || direction.isShutDown)
        return;
    while (!direction.pending.empty() && direction.pending.front().due <= Clock::now()) {
        std::string& data = direction.pending.front().data;
        const ssize_t size = send(socket, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (size < 0) {
            direction.pending.clear();
            connection.toTarget.isClosed = true;
            connection.toClient.isClosed = true;
            break;
        }
        direction.pendingSize -= static_cast<std::size_t>(size);
        data.erase(0, static_cast<std::size_t>(size));
        if (data.empty())
            direction.pending.pop_front();
    }
    if (!direction.isClosed || !direction.pending.empty())
        return;
    shutdown(socket, SHUT_WR);
    direction.isShutDown = true;
    // The target has ended the connection: what the client sends from now on has no receiver.
    if (&direction == &connection.toClient)
        connection.toTarget.isClosed = true;
}

void Link::configure(const Json& body)
{
    const std::scoped_lock lock(m_mutex);
    m_cutsToTarget = body.value("cutToTarget", m_cutsToTarget);
    m_cutsToClient = body.value("cutToClient", m_cutsToClient);
    m_refusesNew = body.value("refuseNew", m_refusesNew);
    m_delay = std::chrono::milliseconds(body.value("delayMs", m_delay.count()));
    m_match = body.value("match", m_match);
    m_lossesLeft = body.value("loseAnswers", m_lossesLeft);
    m_holdsLeft = body.value("holdAnswers", m_holdsLeft);
    if (body.value("freezeExisting", false)) {
        for (const auto& connection : m_connections) {
            m_frozen += connection->isFrozen ? 0 : 1;
            connection->isFrozen = true;
        }
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t size = write(m_wakeUp, &one, sizeof one);
}

Json Link::state() const
{
    const std::scoped_lock lock(m_mutex);
    return { { "connections", m_connections.size() }, { "opened", m_opened }, { "frozen", m_frozen },
        { "lostAnswers", m_lost }, { "heldAnswers", m_heldAnswers }, { "holding", m_held.size() } };
}

}
