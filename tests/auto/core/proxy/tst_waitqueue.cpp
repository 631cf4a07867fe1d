#include "../seeds.h"
#include "core/proxy/waitqueue.h"

#include <vector>

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Model::Time start { std::chrono::seconds(100) };

class WaitQueueTest : public testing::Test {
protected:
    /// Queues a request and returns its id.
    std::uint64_t push(const std::string& customer, int priority = 0, Model::Duration age = {})
    {
        m_queue.push({ ++m_lastId, WaitLane::Primary, priority, customer, start - age, 200ms });
        return m_lastId;
    }

    std::uint64_t first() const
    {
        std::uint64_t result = 0;
        m_queue.visit(WaitLane::Primary, start, [&](std::uint64_t id) {
            result = id;
            return false;
        });
        return result;
    }

    std::uint64_t takeFirst()
    {
        const std::uint64_t id = first();
        m_queue.take(id);
        return id;
    }

    /// Takes `count` requests and returns how many of them belong to `customer`.
    int countTaken(int count, const std::string& customer)
    {
        int result = 0;
        for (int taken = 0; taken < count; ++taken) {
            const std::uint64_t id = first();
            result += m_queue.at(id).customer == customer ? 1 : 0;
            m_queue.take(id);
        }
        return result;
    }

    WaitQueue m_queue;
    std::uint64_t m_lastId = 0;
};

}

// Guards against urgent requests that wait behind others.
TEST_F(WaitQueueTest, MostUrgentClassIsFirst)
{
    push("acme", 2, 50ms);
    const std::uint64_t urgent = push("acme", 0);
    EXPECT_EQ(first(), urgent);
}

// Guards against less urgent classes that are never served while urgent requests wait.
TEST_F(WaitQueueTest, EachLessUrgentClassHasAShare)
{
    for (int count = 0; count < 100; ++count) {
        push("urgent", 0);
        push("middle", 1);
        push("least", 2);
    }
    int middle = 0;
    int least = 0;
    for (int taken = 0; taken < 64; ++taken) {
        const WaitingRequest request = m_queue.at(first());
        m_queue.take(request.id);
        middle += request.priority == 1 ? 1 : 0;
        least += request.priority == 2 ? 1 : 0;
    }
    EXPECT_EQ(middle, 4);
    EXPECT_EQ(least, 4);
}

// Guards against a customer whose many requests delay the few of others, also if its own are old.
TEST_F(WaitQueueTest, CustomersTakeTurns)
{
    for (int count = 0; count < 100; ++count)
        push("heavy", 0, 150ms);
    countTaken(10, "heavy");
    for (int count = 0; count < 10; ++count)
        push("light");
    EXPECT_GE(countTaken(20, "light"), 9);
}

// Guards against a request that misses its target latency because newcomers of other customers go first.
TEST_F(WaitQueueTest, RequestThatWaitedLongGoesAheadByOneTurn)
{
    push("acme", 0, 120ms);
    const std::uint64_t second = push("acme", 0, 110ms);
    push("bolt");
    takeFirst();
    EXPECT_EQ(takeFirst(), second);
}

// Guards against a request that loses its place because its upstream was busy.
TEST_F(WaitQueueTest, ReturnedRequestKeepsItsPlace)
{
    const std::uint64_t id = push("acme", 0, 10ms);
    push("acme");
    push("bolt", 0, 5ms);
    const WaitingRequest request = m_queue.at(id);
    EXPECT_EQ(takeFirst(), id);
    m_queue.putBack(request);
    EXPECT_EQ(first(), id);
}

// Guards against an overload in which all requests finish late: those that can be on time go first.
TEST_F(WaitQueueTest, LateRequestsWaitBehindOthersOfTheirClass)
{
    WaitingRequest late { 1000, WaitLane::Primary, 0, "acme", start - 190ms, 200ms, true };
    m_queue.push(late);
    const std::uint64_t newcomer = push("bolt");
    push("bolt", 1);
    EXPECT_EQ(takeFirst(), newcomer);
    EXPECT_EQ(takeFirst(), late.id);
}

// Guards against an estimate for a light customer that counts all requests of a heavy one.
TEST_F(WaitQueueTest, LightCustomerIsAheadOfMostRequestsOfHeavyOne)
{
    for (int count = 0; count < 100; ++count)
        push("heavy");
    const WaitingRequest light { 1000, WaitLane::Primary, 0, "light", start, 200ms };
    WaitingRequest heavy = light;
    heavy.customer = "heavy";
    EXPECT_LE(m_queue.ahead(light).ofClass, 2U);
    EXPECT_EQ(m_queue.ahead(heavy).ofClass, 100U);
}

// Guards against lost, repeated or wrongly kept entries after any order of operations.
TEST_F(WaitQueueTest, VisitsExactlyTheFirstRequestOfEachCustomer)
{
    forEachSeed(20, [&](std::mt19937_64& generator) {
        m_queue = {};
        std::set<std::uint64_t> queued;
        for (int step = 0; step < 500; ++step) {
            const std::uint64_t action = below(4, generator);
            if (action < 2)
                queued.insert(push("c" + std::to_string(below(6, generator)), int(below(3, generator)),
                    std::chrono::milliseconds(below(300, generator))));
            else if (!queued.empty()) {
                const std::uint64_t id = action == 2 ? first() : *queued.begin();
                if (action == 2)
                    m_queue.take(id);
                else
                    m_queue.remove(id);
                queued.erase(id);
            }
            std::set<std::pair<int, std::string>> heads;
            m_queue.visit(WaitLane::Primary, start, [&](std::uint64_t id) {
                EXPECT_TRUE(queued.contains(id));
                EXPECT_TRUE(heads.emplace(m_queue.at(id).priority, m_queue.at(id).customer).second);
                return true;
            });
            std::set<std::pair<int, std::string>> expected;
            for (const std::uint64_t id : queued)
                expected.emplace(m_queue.at(id).priority, m_queue.at(id).customer);
            EXPECT_EQ(heads, expected);
            EXPECT_EQ(m_queue.size(), queued.size());
        }
    });
}
