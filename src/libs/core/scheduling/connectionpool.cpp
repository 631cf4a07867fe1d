#include "core/scheduling/connectionpool.h"

#include <algorithm>

namespace Scheduling {

namespace {

    // Connections kept ready for new transactions, in addition to one per execution slot.
    constexpr int spareConnections = 2;

    Model::Duration openCost(const PoolSettings& settings)
    {
        return std::chrono::duration_cast<Model::Duration>(std::chrono::seconds(1))
            / std::max(settings.opensPerSecond, 1);
    }

}

ConnectionPool::ConnectionPool(const PoolSettings& settings)
    : m_settings(settings)
    , m_openCredit(openCost(settings) * settings.openBurst)
{
}

void ConnectionPool::setSettings(const PoolSettings& settings, Model::Time now)
{
    refillOpens(now);
    m_settings = settings;
    m_openCredit = std::min(m_openCredit, openCost(settings) * settings.openBurst);
}

void ConnectionPool::setState(UpstreamState state) { m_state = state; }

bool ConnectionPool::mayStart() const
{
    return m_state == UpstreamState::Active && m_running < m_settings.slots;
}

// Whether the connection has to be pinged before use. A response after the last time-out shows that the
// connection works.
bool ConnectionPool::isSuspect(const Connection& connection, Model::Time now) const
{
    return m_lastTimeout && connection.lastResponseAt <= *m_lastTimeout
        && now - connection.lastResponseAt > m_settings.pingAfterIdle;
}

// Prefers the most recently used connection, so that surplus connections stay idle until they are closed.
ConnectionPool::Connections::const_iterator ConnectionPool::findUsable(Model::Time now) const
{
    auto best = m_connections.end();
    for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
        if (it->second.state != State::Idle || isSuspect(it->second, now))
            continue;
        if (best == m_connections.end() || it->second.lastUsed > best->second.lastUsed)
            best = it;
    }
    return best;
}

bool ConnectionPool::canAcquire(Model::Time now) const
{
    return mayStart() && findUsable(now) != m_connections.end();
}

bool ConnectionPool::canBegin(Model::Time now) const
{
    return static_cast<int>(m_transactions.size()) < maxTransactions() && canAcquire(now);
}

bool ConnectionPool::canResume(TransactionId transaction) const
{
    const auto found = m_transactions.find(transaction);
    return found != m_transactions.end() && m_running < m_settings.slots
        && m_connections.at(found->second).state == State::IdleInTransaction;
}

std::optional<ConnectionId> ConnectionPool::acquire(Model::Time now)
{
    if (!mayStart())
        return std::nullopt;
    const auto found = findUsable(now);
    if (found == m_connections.end())
        return std::nullopt;
    run(m_connections.at(found->first), now);
    return found->first;
}

std::optional<ConnectionId> ConnectionPool::begin(TransactionId transaction, Model::Time now)
{
    if (m_transactions.contains(transaction) || !canBegin(now))
        return std::nullopt;
    const std::optional<ConnectionId> connection = acquire(now);
    if (!connection)
        return std::nullopt;
    m_connections.at(*connection).transaction = transaction;
    m_transactions.emplace(transaction, *connection);
    return connection;
}

std::optional<ConnectionId> ConnectionPool::resume(TransactionId transaction, Model::Time now)
{
    if (!canResume(transaction))
        return std::nullopt;
    const ConnectionId connection = m_transactions.at(transaction);
    run(m_connections.at(connection), now);
    return connection;
}

bool ConnectionPool::finish(ConnectionId id, Completion completion, Model::Time now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return false;
    Connection& connection = found->second;
    if (completion == Completion::TimedOut)
        m_lastTimeout = now;
    if (completion == Completion::TimedOut || completion == Completion::Broken) {
        removeConnection(found);
        return false;
    }
    if (connection.state != State::Running)
        return true;
    --m_running;
    connection.lastResponseAt = now;
    connection.lastUsed = now;
    if (completion == Completion::TransactionEnded && connection.transaction) {
        m_transactions.erase(*connection.transaction);
        connection.transaction.reset();
    }
    connection.state = connection.transaction ? State::IdleInTransaction : State::Idle;
    return true;
}

std::vector<PoolAction> ConnectionPool::plan(std::size_t waiting, Model::Time now)
{
    std::vector<PoolAction> actions;
    planCloses(now, actions);
    if (m_state == UpstreamState::Active) {
        planPings(now, actions);
        planOpens(waiting, now, actions);
    }
    return actions;
}

bool ConnectionPool::opened(ConnectionId id, Model::Time now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return false;
    if (found->second.state != State::Opening)
        return true;
    if (m_state != UpstreamState::Active) {
        removeConnection(found);
        return false;
    }
    found->second = Connection { State::Idle, std::nullopt, now, now };
    return true;
}

void ConnectionPool::openFailed(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end() && found->second.state == State::Opening)
        removeConnection(found);
}

bool ConnectionPool::pinged(ConnectionId id, PingResult result, Model::Time now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return false;
    if (found->second.state != State::Pinging)
        return true;
    if (result == PingResult::Failed) {
        m_lastTimeout = now;
        removeConnection(found);
        return false;
    }
    found->second.state = State::Idle;
    found->second.lastResponseAt = now;
    return true;
}

std::vector<ExpiredTransaction> ConnectionPool::expireTransactions(Model::Time now)
{
    std::vector<ExpiredTransaction> expired;
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        const auto current = it++;
        const Connection& connection = current->second;
        if (connection.state != State::IdleInTransaction
            || now - connection.lastUsed < m_settings.idleTransactionTimeout)
            continue;
        expired.push_back({ *connection.transaction, current->first });
        removeConnection(current);
    }
    return expired;
}

std::vector<TransactionId> ConnectionPool::transactions() const
{
    std::vector<TransactionId> result;
    result.reserve(m_transactions.size());
    for (const auto& [transaction, connection] : m_transactions)
        result.push_back(transaction);
    return result;
}

int ConnectionPool::count(State state) const
{
    return static_cast<int>(
        std::ranges::count_if(m_connections, [&](const auto& entry) { return entry.second.state == state; }));
}

// One connection per open transaction and per execution slot, and the spare ones for new transactions.
int ConnectionPool::wantedConnections() const
{
    if (m_state != UpstreamState::Active)
        return 0;
    const int wanted = static_cast<int>(m_transactions.size()) + m_settings.slots + spareConnections;
    return std::min(wanted, m_settings.maxConnections);
}

// Reserves one connection per execution slot for other statements. Idle transactions hold connections but no
// slots, so without this reserve they could block all other work.
int ConnectionPool::maxTransactions() const
{
    return std::max(m_settings.maxConnections - m_settings.slots, 1);
}

void ConnectionPool::run(Connection& connection, Model::Time now)
{
    connection.state = State::Running;
    connection.lastUsed = now;
    ++m_running;
}

void ConnectionPool::removeConnection(Connections::iterator connection)
{
    if (connection->second.state == State::Running)
        --m_running;
    if (connection->second.transaction)
        m_transactions.erase(*connection->second.transaction);
    m_connections.erase(connection);
}

void ConnectionPool::planCloses(Model::Time now, std::vector<PoolAction>& actions)
{
    const int wanted = wantedConnections();
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        const auto current = it++;
        if (current->second.state != State::Idle || connectionCount() <= wanted)
            continue;
        const bool overLimit
            = m_state != UpstreamState::Active || connectionCount() > m_settings.maxConnections;
        if (!overLimit && now - current->second.lastUsed < m_settings.idleConnectionTimeout)
            continue;
        actions.push_back({ PoolActionKind::Close, current->first });
        removeConnection(current);
    }
}

void ConnectionPool::planPings(Model::Time now, std::vector<PoolAction>& actions)
{
    for (auto& [id, connection] : m_connections) {
        if (connection.state != State::Idle || !isSuspect(connection, now))
            continue;
        connection.state = State::Pinging;
        actions.push_back({ PoolActionKind::Ping, id });
    }
}

// A connection that is being pinged may turn out to be unresponsive, so it does not count as ready for
// waiting work.
void ConnectionPool::planOpens(std::size_t waiting, Model::Time now, std::vector<PoolAction>& actions)
{
    refillOpens(now);
    const int ready = count(State::Idle) + count(State::Opening);
    const int useful = static_cast<int>(
        std::min<std::size_t>(waiting, static_cast<std::size_t>(std::max(m_settings.slots - m_running, 0))));
    int missing = std::max(wantedConnections() - connectionCount(), useful - ready);
    missing = std::min(missing, m_settings.maxConnections - connectionCount());
    const Model::Duration cost = openCost(m_settings);
    for (; missing > 0 && m_openCredit >= cost; --missing) {
        m_openCredit -= cost;
        m_connections.emplace(++m_lastId, Connection {});
        actions.push_back({ PoolActionKind::Open, m_lastId });
    }
}

void ConnectionPool::refillOpens(Model::Time now)
{
    if (m_lastRefill && now > *m_lastRefill)
        m_openCredit
            = std::min(m_openCredit + (now - *m_lastRefill), openCost(m_settings) * m_settings.openBurst);
    m_lastRefill = std::max(m_lastRefill.value_or(now), now);
}

}
