#include "core/proxy/pool.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// Idle connections beyond the guaranteed number are closed soon, since other hosts may wait for them.
    constexpr Model::Duration surplusIdleTime = std::chrono::milliseconds(300);
    /// Less than the minute after which upstreams close idle connections.
    constexpr Model::Duration guaranteedIdleTime = std::chrono::seconds(45);
    /// Pause after a refusal because of the connection limit. Other hosts release surplus connections within
    /// a second.
    constexpr Model::Duration refusedPause = std::chrono::milliseconds(60);
    constexpr Model::Duration unreachablePause = std::chrono::milliseconds(150);
    /// Opening a connection occupies an execution slot of the upstream for longer than a statement, so
    /// opening connections to a busy upstream would keep it busy.
    constexpr Model::Duration busyPause = std::chrono::milliseconds(250);
    constexpr int maxBackoffSteps = 3;

}

Connection& Pool::add(const Directory::Upstream& upstream, const std::string& customer, Model::Time now)
{
    const ConnectionId id = ++m_lastId;
    Connection& connection = m_connections[id];
    connection.id = id;
    connection.upstream = upstream.id;
    connection.service = upstream.service;
    connection.customer = customer;
    connection.changedAt = now;
    m_upstreams[upstream.id].connections.push_back(id);
    return connection;
}

Connection* Pool::find(ConnectionId id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : &found->second;
}

Connection Pool::take(ConnectionId id)
{
    const auto found = m_connections.find(id);
    std::erase(m_upstreams[found->second.upstream].connections, id);
    Connection connection = std::move(found->second);
    m_connections.erase(found);
    return connection;
}

void Pool::remove(ConnectionId id)
{
    if (m_connections.contains(id))
        take(id);
}

/// Returns the upstream's matching idle connection that is first in the order of `isBefore`, or null.
template <typename Matches, typename IsBefore>
Connection* Pool::findBestIdle(const std::string& upstream, Matches matches, IsBefore isBefore)
{
    Connection* best = nullptr;
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end())
        return nullptr;
    for (const ConnectionId id : entry->second.connections) {
        Connection& connection = m_connections.at(id);
        if (connection.state != ConnectionState::Idle || !matches(connection))
            continue;
        if (!best || isBefore(connection, *best))
            best = &connection;
    }
    return best;
}

Connection* Pool::findIdle(const std::string& upstream, const std::string& customer)
{
    return findBestIdle(
        upstream, [&](const Connection& connection) { return connection.customer == customer; },
        [](const Connection& left, const Connection& right) { return left.changedAt > right.changedAt; });
}

Connection* Pool::findAnyIdle(const std::string& upstream)
{
    return findBestIdle(
        upstream, [](const Connection&) { return true; },
        [](const Connection&, const Connection&) { return false; });
}

Connection* Pool::findEvictable(const std::string& upstream, const std::string& customer)
{
    return findBestIdle(
        upstream, [&](const Connection& connection) { return connection.customer != customer; },
        [](const Connection& left, const Connection& right) { return left.changedAt < right.changedAt; });
}

std::vector<std::string_view> Pool::customers(const std::string& upstream, ConnectionState state) const
{
    std::vector<std::string_view> result;
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end())
        return result;
    for (const ConnectionId id : entry->second.connections) {
        const Connection& connection = m_connections.at(id);
        if (connection.state == state)
            result.push_back(connection.customer);
    }
    return result;
}

bool Pool::isConnected(const std::string& upstream, const std::string& customer) const
{
    const auto entry = m_upstreams.find(upstream);
    return entry != m_upstreams.end() && std::ranges::any_of(entry->second.connections, [&](ConnectionId id) {
        return m_connections.at(id).customer == customer;
    });
}

bool Pool::mayOpen(const std::string& upstream, int maximum, Model::Time now) const
{
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end())
        return true;
    if (entry->second.closedUntil && now < *entry->second.closedUntil)
        return false;
    return static_cast<int>(entry->second.connections.size()) < maximum;
}

void Pool::refused(const std::string& upstream, Model::Time now)
{
    m_upstreams[upstream].closedUntil = now + refusedPause;
}

void Pool::unreachable(const std::string& upstream, Model::Time now)
{
    UpstreamEntry& entry = m_upstreams[upstream];
    entry.failedOpenings = std::min(entry.failedOpenings + 1, maxBackoffSteps);
    entry.closedUntil = now + unreachablePause * entry.failedOpenings;
}

void Pool::busy(const std::string& upstream, Model::Time now) { m_upstreams[upstream].busyAt = now; }

bool Pool::mustReserveSlots(const std::string& upstream, const std::string& customer, Model::Time now) const
{
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end() || !entry->second.busyAt || now - *entry->second.busyAt >= busyPause)
        return false;
    return std::ranges::any_of(entry->second.connections, [&](ConnectionId id) {
        const Connection& connection = m_connections.at(id);
        return connection.customer == customer || connection.state == ConnectionState::Opening;
    });
}

int Pool::count(const std::string& upstream) const
{
    const auto entry = m_upstreams.find(upstream);
    return entry == m_upstreams.end() ? 0 : static_cast<int>(entry->second.connections.size());
}

int Pool::count(const std::string& upstream, ConnectionState state) const
{
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end())
        return 0;
    return static_cast<int>(std::ranges::count_if(
        entry->second.connections, [&](ConnectionId id) { return m_connections.at(id).state == state; }));
}

int Pool::countInUse(const std::string& upstream) const { return count(upstream, ConnectionState::InUse); }

int Pool::countOpening(const std::string& upstream) const
{
    return count(upstream, ConnectionState::Opening);
}

std::map<std::string, int> Pool::openCounts() const
{
    std::map<std::string, int> counts;
    for (const auto& [upstream, entry] : m_upstreams) {
        if (!entry.connections.empty())
            counts.emplace(upstream, static_cast<int>(entry.connections.size()));
    }
    return counts;
}

std::vector<ConnectionId> Pool::surplus(
    const std::function<ConnectionShare(const std::string& service, const std::string& upstream)>& share,
    Model::Time now) const
{
    std::vector<ConnectionId> result;
    for (const auto& [upstream, entry] : m_upstreams) {
        std::vector<const Connection*> idle;
        for (const ConnectionId id : entry.connections) {
            const Connection& connection = m_connections.at(id);
            if (connection.state == ConnectionState::Idle)
                idle.push_back(&connection);
        }
        if (idle.empty())
            continue;
        std::ranges::sort(idle, {}, &Connection::changedAt);
        int open = static_cast<int>(entry.connections.size());
        const int guaranteed = share(idle.front()->service, upstream).guaranteed;
        for (const Connection* connection : idle) {
            const Model::Duration limit = open > guaranteed ? surplusIdleTime : guaranteedIdleTime;
            if (now - connection->changedAt < limit)
                continue;
            result.push_back(connection->id);
            --open;
        }
    }
    return result;
}

}
