#include "proxyhost/platformworker.h"

#include "eventloop/loop.h"
#include "eventloop/timer.h"
#include "faultproxy/link.h"
#include "platform/platformcalls.h"
#include "sessionplatform/rowstore.h"

#include <thread>

#include <gtest/gtest.h>

using namespace ProxyHost;

namespace {

/// A store, and a host's worker that makes calls to it.
class Fixture {
public:
    Standins::RowStore& store() { return m_store; }

    std::optional<AcquiredLease> acquireLease(const std::string& service)
    {
        std::optional<AcquiredLease> result;
        m_worker.acquireLease(service, Failover::Fence::None, [&](const std::optional<AcquiredLease>& lease) {
            result = lease;
            m_loop.stop();
        });
        m_loop.run();
        return result;
    }

    std::optional<AcquiredLease> recordPromotions(
        const AcquiredLease& lease, const Failover::TermHistory& promotions)
    {
        std::optional<AcquiredLease> result;
        m_worker.recordPromotions(lease, promotions, [&](const std::optional<AcquiredLease>& written) {
            result = written;
            m_loop.stop();
        });
        m_loop.run();
        return result;
    }

private:
    Standins::RowStore m_store { [](const std::string&, const std::string&) { return true; } };
    EventLoop::Loop m_loop;
    PlatformWorker m_worker { m_loop,
        Adapter::platformCalls(m_store.address(), m_store.address(), std::make_shared<Adapter::StoreEpoch>()),
        "host" };
};

}

// Guards against two promotions with the same fencing token: the first one's row was lost as the store was
// restored from an older copy.
TEST(PlatformWorker, GivesNoFencingTokenAgainAfterStoreWasRestored)
{
    Fixture fixture;
    fixture.store().set("other", "row", "");
    fixture.store().saveCopy();
    const auto lost = fixture.acquireLease("ledger");
    ASSERT_TRUE(lost);
    fixture.store().restore();
    const auto next = fixture.acquireLease("ledger");
    ASSERT_TRUE(next);
    EXPECT_GT(next->lease.token, lost->lease.token);
}

// Guards against a host that registers again and again at a slow store: reading and writing its row together
// take longer than a registration may, although little time passes in the store between the two.
TEST(PlatformWorker, RegistersHostAtSlowStore)
{
    Standins::RowStore store([](const std::string&, const std::string&) { return true; });
    const std::string address = store.address();
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    // Never destroyed, since its detached thread runs until the process ends.
    auto* link = new Standins::Link("store", { "127.0.0.1", 0 }, { address.substr(0, colon), port });
    std::thread([link] { link->run(); }).detach();
    link->configure({ { "delayMs", 400 } });
    const std::string slow = "127.0.0.1:" + std::to_string(link->port());
    EventLoop::Loop loop;
    PlatformWorker worker(
        loop, Adapter::platformCalls(slow, slow, std::make_shared<Adapter::StoreEpoch>()), "host");
    std::uint64_t version = 0;
    worker.registerHost({ "127.0.0.1:1", 1, {} }, [&](std::uint64_t written) {
        version = written;
        loop.stop();
    });
    EventLoop::Timer limit(loop, [&loop] { loop.stop(); });
    limit.start(std::chrono::seconds(20));
    loop.run();
    EXPECT_NE(version, 0U);
}

// Guards against a promotion whose host does not learn from where the primary's log goes on: another host had
// promoted it.
TEST(PlatformWorker, LeaseKeepsRecordedPromotions)
{
    Fixture fixture;
    const auto first = fixture.acquireLease("ledger");
    ASSERT_TRUE(first);
    const Failover::TermHistory promotions({ { 2, "db-1", { 1, 46 } }, { 3, "db-2", { 2, 80 } } });
    ASSERT_TRUE(fixture.recordPromotions(*first, promotions));
    // A holder of an earlier version must not overwrite it.
    EXPECT_FALSE(fixture.recordPromotions(*first, {}));
    const auto next = fixture.acquireLease("ledger");
    ASSERT_TRUE(next);
    EXPECT_EQ(next->lease.promotions, promotions);
}
