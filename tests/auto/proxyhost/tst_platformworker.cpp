#include "proxyhost/platformworker.h"

#include "eventloop/loop.h"
#include "platform/platformcalls.h"
#include "sessionplatform/rowstore.h"

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
