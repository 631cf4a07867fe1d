#include "core/proxy/pool.h"

#include <gtest/gtest.h>

using namespace Proxy;
using namespace std::chrono_literals;
using Model::Time;

namespace {

Directory::Upstream upstream()
{
    Directory::Upstream result;
    result.id = "db";
    result.service = "ledger";
    return result;
}

ConnectionId addIdle(Pool& pool, const std::string& customer, Time since)
{
    Connection& connection = pool.add(upstream(), customer, since);
    connection.state = ConnectionState::Idle;
    return connection.id;
}

}

// Guards against running a statement on a connection that was opened for another customer.
TEST(Pool, FindsOnlyConnectionsOfSameCustomer)
{
    Pool pool;
    const ConnectionId acme = addIdle(pool, "acme", Time { 1s });
    EXPECT_EQ(pool.findIdle("db", "bolt"), nullptr);
    ASSERT_NE(pool.findIdle("db", "acme"), nullptr);
    EXPECT_EQ(pool.findIdle("db", "acme")->id, acme);
    ASSERT_NE(pool.findEvictable("db", "bolt"), nullptr);
    EXPECT_EQ(pool.findEvictable("db", "acme"), nullptr);
}

// Guards against closing the connection that would be used next: the least recently used one is evicted, and
// the most recently used one is reused.
TEST(Pool, EvictsOldestAndReusesNewestConnection)
{
    Pool pool;
    const ConnectionId oldest = addIdle(pool, "acme", Time { 1s });
    const ConnectionId newest = addIdle(pool, "acme", Time { 2s });
    EXPECT_EQ(pool.findIdle("db", "acme")->id, newest);
    EXPECT_EQ(pool.findEvictable("db", "bolt")->id, oldest);
}

// Guards against repeated attempts to open connections to an upstream that refuses them.
TEST(Pool, PausesOpeningAfterRefusal)
{
    Pool pool;
    EXPECT_TRUE(pool.mayOpen("db", 2, Time { 0s }));
    pool.refused("db", Time { 0s });
    EXPECT_FALSE(pool.mayOpen("db", 2, Time { 10ms }));
    EXPECT_TRUE(pool.mayOpen("db", 2, Time { 1s }));
    addIdle(pool, "acme", Time { 1s });
    addIdle(pool, "acme", Time { 1s });
    EXPECT_FALSE(pool.mayOpen("db", 2, Time { 1s }));
}

// Guards against a host that keeps idle connections while other hosts wait for connections.
TEST(Pool, ReleasesConnectionsBeyondGuarantee)
{
    Pool pool;
    const ConnectionId first = addIdle(pool, "acme", Time { 1s });
    addIdle(pool, "acme", Time { 2s });
    const auto share = [](const std::string&, const std::string&) { return ConnectionShare { 1, 3 }; };
    EXPECT_TRUE(pool.surplus(share, Time { 1s + 100ms }).empty());
    EXPECT_EQ(pool.surplus(share, Time { 3s }), std::vector<ConnectionId> { first });
    EXPECT_EQ(pool.surplus(share, Time { 60s }).size(), 2U);
}
