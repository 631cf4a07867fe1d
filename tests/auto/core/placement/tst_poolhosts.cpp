#include "core/placement/poolhosts.h"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

using namespace Placement;

namespace {

std::vector<HostCapacity> fleet(int hostsPerZone, double processorShare = 0.25)
{
    std::vector<HostCapacity> hosts;
    for (const std::string zone : { "north", "south", "west" }) {
        for (int i = 0; i < hostsPerZone; ++i)
            hosts.push_back({ zone + std::to_string(i), zone, processorShare });
    }
    return hosts;
}

std::string service(int number) { return "service" + std::to_string(number); }

}

// Guards against statements that leave the zone for their pool host, and against hosts that disagree.
TEST(PoolHosts, RanksHostsOfOwnZoneInTheSameOrderEverywhere)
{
    PoolHosts one("north");
    PoolHosts other("north");
    auto hosts = fleet(10);
    one.setHosts(hosts);
    std::ranges::reverse(hosts);
    other.setHosts(hosts);
    EXPECT_EQ(one.zoneCount(), 3);
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(one.ranked(service(i)), other.ranked(service(i)));
        for (const std::string& host : one.ranked(service(i)))
            EXPECT_TRUE(host.starts_with("north"));
    }
}

// Guards against connections that are given up on many hosts when one joins or leaves.
TEST(PoolHosts, MovesOnlyServicesOfHostThatLeft)
{
    PoolHosts before("north");
    PoolHosts after("north");
    auto hosts = fleet(10);
    before.setHosts(hosts);
    std::erase_if(hosts, [](const HostCapacity& host) { return host.host == "north3"; });
    after.setHosts(hosts);
    for (int i = 0; i < 200; ++i) {
        if (before.ranked(service(i)).front() != "north3")
            EXPECT_EQ(before.ranked(service(i)).front(), after.ranked(service(i)).front());
        else
            EXPECT_EQ(before.ranked(service(i))[1], after.ranked(service(i)).front());
    }
}

// Guards against small hosts that get as much work as large ones: of 4 and 16 hosts with 0.5 and 0.125 of a
// processor, each kind should execute half of the services.
TEST(PoolHosts, FollowsProcessorShares)
{
    auto hosts = fleet(16, 0.125);
    for (int i = 0; i < 4; ++i)
        hosts.push_back({ "large" + std::to_string(i), "north", 0.5 });
    PoolHosts poolHosts("north");
    poolHosts.setHosts(hosts);
    int onLarge = 0;
    constexpr int services = 2000;
    for (int i = 0; i < services; ++i)
        onLarge += poolHosts.ranked(service(i)).front().starts_with("large") ? 1 : 0;
    EXPECT_NEAR(onLarge, services * 0.5, services * 0.1);
}

// Guards against a host that is ranked although its settings exclude it, and against an empty fleet.
TEST(PoolHosts, LeavesOutHostsWithoutShare)
{
    PoolHosts poolHosts("north");
    EXPECT_TRUE(poolHosts.ranked("service").empty());
    EXPECT_EQ(poolHosts.zoneCount(), 1);
    poolHosts.setHosts({ { "north0", "north", 0 }, { "north1", "north", 0.5 } });
    EXPECT_EQ(poolHosts.ranked("service"), std::vector<std::string> { "north1" });
}
