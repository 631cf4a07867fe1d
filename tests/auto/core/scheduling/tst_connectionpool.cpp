#include "../seeds.h"
#include "core/scheduling/connectionpool.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

using namespace Scheduling;
using Model::Duration;
using Model::Time;
using namespace std::chrono_literals;

namespace {

// The state of one connection at the simulated I/O layer and upstream.
struct Peer {
    bool unresponsive = false;
    // The statement whose response the connection delivers next, and when.
    std::uint64_t request = 0;
    Time responseAt {};
    TransactionId transaction = 0;
    Time lastResponseAt {};
    Time lastUsed {};
};

// Runs a pool against a simulated upstream whose connections become unresponsive or respond late.
class PoolSimulation {
public:
    explicit PoolSimulation(std::mt19937_64& generator)
        : m_generator(generator)
        , m_settings { .maxConnections = 3 + static_cast<int>(below(6, generator)),
            .slots = 1 + static_cast<int>(below(4, generator)) }
    {
    }

    void run()
    {
        for (int step = 0; step < 400 && !testing::Test::HasFailure(); ++step) {
            m_now += Duration(below(onceIn(20, m_generator) ? 8'000'000 : 40'000, m_generator));
            // After a pause of the host, time-outs of all kinds are due at once and are handled in any order.
            if (onceIn(50, m_generator)) {
                m_now += 31s;
                expireTransactions();
            }
            deliverLateResponses();
            completeDue();
            expireTransactions();
            if (onceIn(40, m_generator))
                changeState();
            answerActions();
            if (onceIn(60, m_generator)) {
                for (auto& [id, peer] : m_peers)
                    peer.unresponsive = true;
            }
            startWork();
            if (!onceIn(3, m_generator))
                plan(below(5, m_generator));
            checkLimits();
        }
        checkOpenRate();
        checkRecovery();
    }

private:
    void checkLimits()
    {
        EXPECT_LE(m_pool.connectionCount(), m_settings.maxConnections);
        EXPECT_LE(m_pool.running(), m_settings.slots);
        EXPECT_EQ(m_pool.running(), static_cast<int>(m_running.size()));
        EXPECT_EQ(m_pool.transactions().size(), m_open.size());
    }

    void changeState()
    {
        m_active = !m_active;
        m_pool.setState(m_active ? UpstreamState::Active : UpstreamState::NoNewWork);
    }

    void plan(std::size_t waiting)
    {
        for (const PoolAction& action : m_pool.plan(waiting, m_now)) {
            const ConnectionId id = action.connection;
            EXPECT_FALSE(m_running.contains(id)) << "an action on a connection in use";
            EXPECT_TRUE(!m_peers.contains(id) || m_peers[id].transaction == 0);
            if (action.kind == PoolActionKind::Close) {
                m_peers.erase(id);
            } else {
                EXPECT_TRUE(m_active) << "an action on an upstream that accepts no new work";
                m_pending.push_back(action);
                if (action.kind == PoolActionKind::Open)
                    m_opens.push_back(m_now);
            }
        }
    }

    void answerActions()
    {
        for (const PoolAction& action : std::exchange(m_pending, {})) {
            if (action.kind == PoolActionKind::Open)
                answerOpen(action.connection);
            else
                answerPing(action.connection);
        }
    }

    void answerOpen(ConnectionId id)
    {
        if (onceIn(6, m_generator)) {
            m_pool.openFailed(id);
            return;
        }
        const bool kept = m_pool.opened(id, m_now);
        EXPECT_TRUE(!kept || m_active) << "kept a connection to an upstream that accepts no new work";
        if (kept)
            m_peers[id] = Peer { .lastResponseAt = m_now, .lastUsed = m_now };
    }

    void answerPing(ConnectionId id)
    {
        Peer& peer = m_peers.at(id);
        const auto result
            = peer.unresponsive ? ConnectionPool::PingResult::Failed : ConnectionPool::PingResult::Answered;
        EXPECT_EQ(m_pool.pinged(id, result, m_now), !peer.unresponsive);
        if (!peer.unresponsive) {
            peer.lastResponseAt = m_now;
            return;
        }
        m_lastTimeout = m_now;
        m_peers.erase(id);
    }

    void startWork()
    {
        if (const auto id = m_pool.acquire(m_now))
            use(*id, 0);
        if (onceIn(3, m_generator)) {
            const TransactionId transaction = ++m_lastTransaction;
            if (const auto id = m_pool.begin(transaction, m_now)) {
                use(*id, transaction);
                m_open.insert(transaction);
                EXPECT_LE(static_cast<int>(m_open.size()),
                    std::max(m_settings.maxConnections - m_settings.slots, 1));
            }
        }
        const TransactionId resumed = 1 + below(m_lastTransaction + 1, m_generator);
        if (const auto id = m_pool.resume(resumed, m_now)) {
            EXPECT_TRUE(m_open.contains(resumed));
            EXPECT_EQ(m_peers[*id].transaction, resumed)
                << "a transaction resumed on the connection of another one";
            send(*id);
        }
    }

    void use(ConnectionId id, TransactionId transaction)
    {
        ASSERT_TRUE(m_peers.contains(id));
        EXPECT_TRUE(m_active) << "new work for an upstream that accepts none";
        EXPECT_EQ(m_peers[id].transaction, 0U) << "a connection shared by two transactions";
        EXPECT_TRUE(m_peers[id].lastResponseAt > m_lastTimeout || m_now - m_peers[id].lastResponseAt <= 1s)
            << "a connection used without a ping after a time-out";
        m_peers[id].transaction = transaction;
        send(id);
    }

    void send(ConnectionId id)
    {
        EXPECT_FALSE(m_running.contains(id)) << "two statements at once on a connection";
        const std::uint64_t request = ++m_lastRequest;
        m_running[id] = request;
        Peer& peer = m_peers[id];
        peer.lastUsed = m_now;
        // If the response to an earlier statement is outstanding, it is delivered first.
        if (peer.request == 0) {
            peer.request = request;
            peer.responseAt = m_now + Duration(below(peer.unresponsive ? 5'000'000 : 120'000, m_generator));
        }
    }

    void completeDue()
    {
        const auto running = m_running;
        for (const auto& [id, request] : running) {
            Peer& peer = m_peers.at(id);
            if (!peer.unresponsive && peer.responseAt <= m_now)
                complete(id, request);
            else if (m_now - peer.lastUsed > 300ms)
                timeOut(id);
        }
    }

    void complete(ConnectionId id, std::uint64_t request)
    {
        Peer& peer = m_peers.at(id);
        EXPECT_EQ(peer.request, request) << "a late response reached another request";
        peer.request = 0;
        peer.lastResponseAt = m_now;
        peer.lastUsed = m_now;
        m_running.erase(id);
        const bool ends = onceIn(3, m_generator);
        const auto completion = ends ? Completion::TransactionEnded : Completion::Done;
        if (ends)
            m_open.erase(std::exchange(peer.transaction, 0));
        EXPECT_TRUE(m_pool.finish(id, completion, m_now));
    }

    void timeOut(ConnectionId id)
    {
        const auto completion = onceIn(4, m_generator) ? Completion::Broken : Completion::TimedOut;
        if (completion == Completion::TimedOut)
            m_lastTimeout = m_now;
        m_running.erase(id);
        m_open.erase(m_peers.at(id).transaction);
        if (m_pool.finish(id, completion, m_now)) {
            m_peers.at(id).transaction = 0;
            m_peers.at(id).lastResponseAt = m_now;
            return;
        }
        m_late.push_back(id);
        m_peers.erase(id);
    }

    // Delivers a response on a connection that the pool has removed.
    void deliverLateResponses()
    {
        for (const ConnectionId id : m_late)
            EXPECT_FALSE(m_pool.finish(id, Completion::Done, m_now));
        m_late.clear();
    }

    void expireTransactions()
    {
        for (const ExpiredTransaction& expired : m_pool.expireTransactions(m_now)) {
            EXPECT_GE(m_now - m_peers[expired.connection].lastUsed, 30s);
            EXPECT_FALSE(m_running.contains(expired.connection));
            EXPECT_EQ(m_open.erase(expired.transaction), 1U);
            m_peers.erase(expired.connection);
        }
        for (const auto& [id, peer] : m_peers)
            EXPECT_TRUE(peer.transaction == 0 || m_running.contains(id) || m_now - peer.lastUsed < 30s);
    }

    void checkOpenRate() const
    {
        for (std::size_t i = 0; i < m_opens.size(); ++i) {
            for (std::size_t j = i; j < m_opens.size(); ++j) {
                const auto window = (m_opens[j] - m_opens[i]).count();
                EXPECT_LE(static_cast<std::int64_t>(j - i + 1) * 1'000'000, 5'000'000 + window * 10);
            }
        }
    }

    // Whatever faults occurred before, the pool has to provide a connection again once the upstream works and
    // running statements have ended.
    void checkRecovery()
    {
        m_pool.setState(UpstreamState::Active);
        m_active = true;
        const auto running = m_running;
        for (const auto& [id, request] : running)
            timeOut(id);
        for (int step = 0; step < 100 && !m_pool.canAcquire(m_now); ++step) {
            m_now += 20ms;
            plan(1);
            answerActions();
        }
        EXPECT_TRUE(m_pool.canAcquire(m_now));
    }

    std::mt19937_64& m_generator;
    PoolSettings m_settings;
    ConnectionPool m_pool { m_settings };
    std::map<ConnectionId, Peer> m_peers;
    std::map<ConnectionId, std::uint64_t> m_running;
    std::set<TransactionId> m_open;
    std::vector<ConnectionId> m_late;
    std::vector<PoolAction> m_pending;
    std::vector<Time> m_opens;
    Time m_now { 1h };
    Time m_lastTimeout;
    bool m_active = true;
    TransactionId m_lastTransaction = 0;
    std::uint64_t m_lastRequest = 0;
};

}

// Guards against a connection shared by two statements or transactions, a late response delivered to another
// request, new work for an upstream that accepts none, connections used without a ping after a time-out, a
// burst of new connections, and a pool that stays unusable after faults.
TEST(ConnectionPool, InvariantsHoldUnderRandomFaults)
{
    forEachSeed(4000, [](std::mt19937_64& generator) { PoolSimulation(generator).run(); });
}

// Guards against surplus connections that stay open after the limit was lowered or the load has dropped: the
// database's connections are limited and other hosts need them.
TEST(ConnectionPool, ClosesSurplusConnections)
{
    ConnectionPool pool({ .maxConnections = 10, .slots = 5 });
    Time now { 1s };
    for (int i = 0; i < 20; ++i, now += 100ms) {
        for (const PoolAction& action : pool.plan(0, now))
            EXPECT_TRUE(action.kind == PoolActionKind::Open && pool.opened(action.connection, now));
    }
    EXPECT_EQ(pool.connectionCount(), 7);
    pool.setSettings({ .maxConnections = 5, .slots = 5 }, now);
    EXPECT_EQ(pool.plan(0, now).size(), 2U);
    pool.setSettings({ .maxConnections = 5, .slots = 1 }, now);
    EXPECT_TRUE(pool.plan(0, now).empty());
    EXPECT_EQ(pool.plan(0, now + 60s).size(), 2U);
    EXPECT_EQ(pool.connectionCount(), 3);
}

// Guards against statements that wait until pings on unresponsive connections time out, instead of getting
// new connections.
TEST(ConnectionPool, OpensConnectionsWhileOthersArePinged)
{
    ConnectionPool pool({ .maxConnections = 10, .slots = 3 });
    Time now { 1s };
    for (const PoolAction& action : pool.plan(0, now))
        EXPECT_TRUE(pool.opened(action.connection, now));
    now += 10s;
    const auto unresponsive = pool.acquire(now);
    ASSERT_TRUE(unresponsive);
    EXPECT_FALSE(pool.finish(*unresponsive, Completion::TimedOut, now));
    const auto actions = pool.plan(3, now);
    EXPECT_EQ(std::ranges::count(actions, PoolActionKind::Ping, &PoolAction::kind), 4);
    EXPECT_EQ(std::ranges::count(actions, PoolActionKind::Open, &PoolAction::kind), 3);
}
