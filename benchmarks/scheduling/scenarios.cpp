#include "scenarios.h"

#include "core/scheduling/connectionpool.h"
#include "core/scheduling/fairqueue.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <vector>

namespace SchedulingSimulation {

namespace {

    using namespace Scheduling;
    using namespace std::chrono_literals;

    constexpr std::uint64_t seed = 11;
    constexpr std::size_t customerCount = 8;
    constexpr std::size_t upstreamCount = 3;
    constexpr int slots = 2;
    constexpr Model::Duration statementTime = 5ms;
    constexpr Model::Duration deadline = 2s;
    constexpr Model::Duration step = 1ms;
    constexpr std::size_t boundPerCustomer = 100;
    // One in three statements is a write, so that the primary and each replica have the same load.
    constexpr std::uint64_t statementsPerWrite = 3;
    // Statements per second that the group can run.
    constexpr double capacity = upstreamCount * slots * 1000.0 / statementTime.count() * 1000.0;

    struct Upstream {
        std::string name;
        ConnectionPool pool;
        std::multimap<Model::Time, ConnectionId> running;
        std::multimap<Model::Time, ConnectionId> opening;
    };

    class Group {
    public:
        Group(const Deployment& deployment, Order order)
            : m_deployment(deployment)
            , m_order(order)
            , m_queue(order == Order::Fair ? boundPerCustomer : boundPerCustomer * customerCount)
        {
            for (std::size_t i = 0; i < upstreamCount; ++i) {
                const PoolSettings settings { .maxConnections = deployment.connectionsPerUpstream,
                    .slots = slots };
                m_upstreams.push_back({ std::to_string(i), ConnectionPool(settings), {}, {} });
            }
        }

        void run(Model::Duration period, const std::array<double, customerCount>& perSecond)
        {
            const Model::Time end = m_now + period;
            while (m_now < end) {
                m_now += step;
                for (std::size_t i = 0; i < customerCount; ++i) {
                    const double mean = perSecond[i] / 1000;
                    for (int n = std::poisson_distribution<int>(mean)(m_generator); n > 0; --n)
                        send(i);
                }
                m_result.expired += m_queue.expire(m_now).size();
                for (std::size_t i = 0; i < upstreamCount; ++i)
                    serve(m_upstreams[i], i == 0);
            }
        }

        void reset()
        {
            m_result = {};
            m_sent = m_served = {};
        }

        const std::array<std::uint64_t, customerCount>& sent() const { return m_sent; }
        const std::array<std::uint64_t, customerCount>& served() const { return m_served; }
        const FloodResult& counts() const { return m_result; }

    private:
        void send(std::size_t customer)
        {
            ++m_sent[customer];
            // For order of arrival, the items of all customers are queued under one name.
            const std::string name = m_order == Order::Fair ? std::to_string(customer) : "all";
            const bool writes = m_generator() % statementsPerWrite == 0;
            const QueueItem item { ++m_lastId, name, std::to_string(customer),
                writes ? Placement::Primary : Placement::Replica, {}, m_now + deadline };
            if (!m_queue.push(item, m_now))
                ++m_result.refused;
        }

        void serve(Upstream& upstream, bool isPrimary)
        {
            while (!upstream.opening.empty() && upstream.opening.begin()->first <= m_now)
                (void)upstream.pool.opened(
                    upstream.opening.extract(upstream.opening.begin()).mapped(), m_now);
            while (!upstream.running.empty() && upstream.running.begin()->first <= m_now)
                (void)upstream.pool.finish(
                    upstream.running.extract(upstream.running.begin()).mapped(), Completion::Done, m_now);
            const auto canRun
                = [&](const QueueItem& item) { return (item.placement == Placement::Primary) == isPrimary; };
            while (upstream.pool.canAcquire(m_now)) {
                const auto item = m_queue.pop(upstream.name, canRun, m_now);
                if (!item)
                    break;
                ++m_served[std::stoul(item->keyName)];
                ++m_result.served;
                const auto connection = upstream.pool.acquire(m_now);
                upstream.running.emplace(m_now + statementTime, connection.value_or(0));
            }
            for (const PoolAction& action : upstream.pool.plan(m_queue.size(), m_now)) {
                if (action.kind != PoolActionKind::Open)
                    continue;
                ++m_result.opened;
                upstream.opening.emplace(m_now + m_deployment.openTime, action.connection);
            }
        }

        Deployment m_deployment;
        Order m_order;
        FairQueue m_queue;
        std::vector<Upstream> m_upstreams;
        std::mt19937_64 m_generator { seed };
        Model::Time m_now { 1s };
        std::uint64_t m_lastId = 0;
        std::array<std::uint64_t, customerCount> m_sent {};
        std::array<std::uint64_t, customerCount> m_served {};
        FloodResult m_result;
    };

    // Max-min fair shares of `total` for customers that sent the given numbers of statements.
    std::array<double, customerCount> fairShares(
        const std::array<std::uint64_t, customerCount>& sent, double total)
    {
        std::array<std::size_t, customerCount> order {};
        for (std::size_t i = 0; i < customerCount; ++i)
            order[i] = i;
        std::ranges::sort(order, {}, [&](std::size_t i) { return sent[i]; });
        std::array<double, customerCount> shares {};
        for (std::size_t n = 0; n < customerCount; ++n) {
            const std::size_t i = order[n];
            shares[i]
                = std::min(static_cast<double>(sent[i]), total / static_cast<double>(customerCount - n));
            total -= shares[i];
        }
        return shares;
    }

}

FloodResult flood(const Deployment& deployment, int floodFactor, Order order)
{
    Group group(deployment, order);
    std::array<double, customerCount> perSecond {};
    perSecond.fill(0.8 * capacity / customerCount);
    perSecond[0] = floodFactor * capacity / customerCount;
    group.run(3s, perSecond);
    group.reset();
    group.run(20s, perSecond);
    FloodResult result = group.counts();
    const auto shares = fairShares(group.sent(), static_cast<double>(result.served));
    for (std::size_t i = 0; i < customerCount; ++i)
        result.worstPercent
            = std::min(result.worstPercent, 100 * static_cast<double>(group.served()[i]) / shares[i]);
    return result;
}

}
