#include "../seeds.h"
#include "core/scheduling/fairqueue.h"

#include <algorithm>
#include <array>

using namespace Scheduling;
using Model::Time;
using namespace std::chrono_literals;

namespace {

const std::array<std::string, 3> upstreams { "first", "second", "third" };
const std::array<std::uint32_t, 4> weights { 1, 2, 5, 1 };
constexpr std::size_t bound = 6;

bool canRun(const QueueItem& item, const std::string& upstream)
{
    switch (item.placement) {
    case Placement::Primary:
        return upstream == upstreams[0];
    case Placement::Replica:
        return upstream != upstreams[0];
    case Placement::AnyMember:
        return true;
    case Placement::Member:
        return item.member == upstream;
    }
    return false;
}

std::vector<std::uint64_t> ids(const std::vector<QueueItem>& items)
{
    std::vector<std::uint64_t> result(items.size());
    std::ranges::transform(items, result.begin(), &QueueItem::id);
    std::ranges::sort(result);
    return result;
}

// Runs random operations on the queue and compares it with a plain list of the items, oldest first.
class QueueSimulation {
public:
    explicit QueueSimulation(std::mt19937_64& generator)
        : m_generator(generator)
    {
        for (std::size_t i = 0; i < weights.size(); ++i)
            m_queue.setWeight(std::to_string(i), weights[i]);
    }

    void run()
    {
        for (int step = 0; step < 300 && !testing::Test::HasFailure(); ++step) {
            m_now += std::chrono::milliseconds(below(4, m_generator));
            const std::uint64_t choice = below(40, m_generator);
            if (choice < 20)
                push();
            else if (choice < 37)
                pop();
            else if (choice == 37)
                checkRemoval(m_queue.expire(m_now), [&](const auto& item) { return item.deadline <= m_now; });
            else if (choice == 38)
                checkRemoval(
                    m_queue.removeKey("key1"), [](const auto& item) { return item.keyName == "key1"; });
            else
                removeOne();
            EXPECT_EQ(m_queue.size(), m_items.size());
        }
    }

private:
    void push()
    {
        QueueItem item { ++m_lastId, std::to_string(below(weights.size(), m_generator)),
            "key" + std::to_string(below(9, m_generator)), static_cast<Placement>(below(4, m_generator)),
            upstreams[below(3, m_generator)], m_now + std::chrono::milliseconds(below(400, m_generator)) };
        const auto queued = std::ranges::count(m_items, item.customer, &QueueItem::customer);
        const auto result = m_queue.push(item, m_now);
        EXPECT_EQ(result.has_value(), item.deadline > m_now && queued < std::ptrdiff_t { bound });
        if (result)
            m_items.push_back(std::move(item));
    }

    bool isRunnable(const QueueItem& item, const std::string& upstream) const
    {
        return item.deadline > m_now && canRun(item, upstream);
    }

    void pop()
    {
        const std::size_t upstreamIndex = below(3, m_generator);
        const std::string& upstream = upstreams[upstreamIndex];
        const auto runnable = [&](const QueueItem& item) { return isRunnable(item, upstream); };
        const auto popped = m_queue.pop(
            upstream, [&](const auto& item) { return canRun(item, upstream); }, m_now);
        EXPECT_EQ(popped.has_value(), std::ranges::any_of(m_items, runnable));
        if (!popped)
            return;
        checkWaits(upstreamIndex, *popped);
        const auto oldest = std::ranges::find_if(
            m_items, [&](const auto& item) { return item.customer == popped->customer && runnable(item); });
        ASSERT_NE(oldest, m_items.end());
        EXPECT_EQ(oldest->id, popped->id);
        m_items.erase(oldest);
    }

    // With start-time fair queueing, a customer of weight w_other is served at most w_other / w + 2 times
    // between two turns of a customer of weight w that has runnable items.
    void checkWaits(std::size_t upstreamIndex, const QueueItem& popped)
    {
        for (std::size_t i = 0; i < weights.size(); ++i) {
            const bool waits = std::ranges::any_of(m_items, [&](const auto& item) {
                return item.customer == std::to_string(i) && isRunnable(item, upstreams[upstreamIndex]);
            });
            auto& served = m_servedMeanwhile[upstreamIndex][i];
            if (!waits || popped.customer == std::to_string(i)) {
                served = {};
                continue;
            }
            const std::size_t other = std::stoul(popped.customer);
            EXPECT_LE(++served[other], weights[other] / weights[i] + 2)
                << "customer " << i << " waits while " << other << " is served";
        }
    }

    template <typename Predicate>
    void checkRemoval(const std::vector<QueueItem>& removed, const Predicate& predicate)
    {
        std::vector<QueueItem> expected;
        std::ranges::copy_if(m_items, std::back_inserter(expected), predicate);
        std::erase_if(m_items, predicate);
        EXPECT_EQ(ids(removed), ids(expected));
    }

    void removeOne()
    {
        const std::uint64_t id = 1 + below(m_lastId + 1, m_generator);
        const bool queued = std::erase_if(m_items, [&](const auto& item) { return item.id == id; }) > 0;
        EXPECT_EQ(m_queue.remove(id).has_value(), queued);
    }

    std::mt19937_64& m_generator;
    FairQueue m_queue { bound };
    std::vector<QueueItem> m_items;
    std::array<std::array<std::array<std::uint32_t, weights.size()>, weights.size()>, 3> m_servedMeanwhile {};
    Time m_now { 1s };
    std::uint64_t m_lastId = 0;
};

}

// Guards against items that wait forever, turns that do not follow the weights, items of a withdrawn key or
// past their deadline that still run, and items that are lost or returned twice.
TEST(FairQueue, InvariantsHoldUnderRandomOperations)
{
    forEachSeed(4000, [](std::mt19937_64& generator) { QueueSimulation(generator).run(); });
}

// Guards against a customer whose share depends on the number of items it sends instead of its weight.
TEST(FairQueue, SharesFollowWeightsWhenOneCustomerFloods)
{
    FairQueue queue(50);
    queue.setWeight("flooding", 1);
    queue.setWeight("heavy", 3);
    std::uint64_t id = 0;
    std::array<int, 3> served {};
    const std::array<std::string, 3> customers { "flooding", "heavy", "plain" };
    for (int turn = 0; turn < 1000; ++turn) {
        for (int i = 0; i < 20; ++i) {
            for (std::size_t c = 0; c < customers.size(); ++c) {
                if (c == 0 || i < 2)
                    (void)queue.push(
                        { ++id, customers[c], "", Placement::Primary, "", Time { 1h } }, Time {});
            }
        }
        const auto popped = queue.pop(
            "primary", [](const auto&) { return true; }, Time {});
        ++served[static_cast<std::size_t>(
            std::ranges::find(customers, popped->customer) - customers.begin())];
    }
    EXPECT_NEAR(served[0], 200, 2);
    EXPECT_NEAR(served[1], 600, 2);
    EXPECT_NEAR(served[2], 200, 2);
}

// Guards against credit for time in which a customer had no items: it would be served alone afterwards, until
// the credit is used up.
TEST(FairQueue, IdleCustomerEarnsNoCredit)
{
    FairQueue queue(1000);
    std::uint64_t id = 0;
    const auto push = [&](const std::string& customer, int count) {
        for (int i = 0; i < count; ++i)
            ASSERT_TRUE(queue.push({ ++id, customer, "", Placement::Primary, "", Time { 1h } }, Time {}));
    };
    const auto any = [](const QueueItem&) { return true; };
    push("steady", 300);
    for (int i = 0; i < 200; ++i)
        (void)queue.pop("primary", any, Time {});
    push("returning", 100);
    for (int i = 0; i < 20; ++i)
        (void)queue.pop("primary", any, Time {});
    EXPECT_NEAR(static_cast<double>(queue.size("steady")), 90, 1);
}

// Guards against two items with the same id: the queue's index would keep a stale position of the first one.
TEST(FairQueue, RejectsDuplicateIds)
{
    FairQueue queue(5);
    EXPECT_TRUE(queue.push({ 1, "a", "", Placement::Primary, "", Time { 1s } }, Time {}));
    EXPECT_FALSE(queue.push({ 1, "b", "", Placement::Primary, "", Time { 1s } }, Time {}));
    EXPECT_EQ(queue.nextDeadline(), Time { 1s });
    EXPECT_TRUE(queue.hasRunnable([](const auto&) { return true; }, Time {}));
    EXPECT_FALSE(queue.hasRunnable([](const auto&) { return true; }, Time { 1s }));
}
