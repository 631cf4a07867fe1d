#include "core/failover/primarypermission.h"

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;
using Model::Duration;
using Model::Time;

namespace {

PrimaryPermission fleetOfFive()
{
    PrimaryPermission permission;
    permission.setHosts({ "b", "c", "d", "e" }, Time { 0ms });
    return permission;
}

}

// Guards against a process that starts during a promotion and uses the previous primary: the other hosts'
// reports alone do not show fences that were set before it listened.
TEST(PrimaryPermission, RequiresReadOfTheStore)
{
    PrimaryPermission permission = fleetOfFive();
    for (const char* host : { "b", "c", "d", "e" })
        permission.contacted(host, Time { 100ms }, Time { 110ms });
    EXPECT_FALSE(permission.isValid(Time { 110ms }));
    EXPECT_TRUE(permission.needsStoreRead(Time { 110ms }));
    permission.storeRead(Time { 90ms }, Time { 120ms });
    EXPECT_TRUE(permission.isValid(Time { 120ms }));
}

// Guards against the use of a primary by a host that is cut off with it from the others and from the store.
TEST(PrimaryPermission, EndsWithoutEvidence)
{
    PrimaryPermission permission = fleetOfFive();
    permission.storeRead(Time { -10s }, Time { -10s });
    permission.storeRead(Time { 100ms }, Time { 110ms });
    EXPECT_TRUE(permission.isValid(Time { 1599ms }));
    EXPECT_FALSE(permission.isValid(Time { 1600ms }));
    // Two of the other four are a majority with this host; one is not.
    permission.contacted("b", Time { 1500ms }, Time { 1500ms });
    EXPECT_FALSE(permission.isValid(Time { 1600ms }));
    permission.contacted("c", Time { 1400ms }, Time { 1500ms });
    EXPECT_TRUE(permission.isValid(Time { 2899ms }));
    EXPECT_FALSE(permission.isValid(Time { 2900ms }));
}

// Guards against an outage of the store that ends all writes although no promotion can take place unnoticed.
TEST(PrimaryPermission, OutlivesOutageOfTheStoreWithAMajority)
{
    PrimaryPermission permission = fleetOfFive();
    permission.storeRead(Time { -30s }, Time { -30s });
    permission.storeRead(Time { 0ms }, Time { 0ms });
    for (Time now { 0ms }; now < Time { 21s }; now += 500ms) {
        permission.contacted("b", now, now);
        permission.contacted("c", now, now);
        EXPECT_TRUE(permission.isValid(now));
    }
    permission.contacted("b", Time { 22s }, Time { 22s });
    permission.contacted("c", Time { 22s }, Time { 22s });
    EXPECT_FALSE(permission.isValid(Time { 22s }));
}

// Guards against store calls that grow with the fleet's traffic: they have a price. A fleet of 59 hosts,
// which started together, reports every 885 ms (quiet-1 of deployment maillebois-prod-grown, 0.863 to 0.730).
TEST(PrimaryPermission, RarelyReadsTheStoreWhileAMajorityReports)
{
    for (const Duration reportPeriod : { Duration(200ms), Duration(885ms) }) {
        PrimaryPermission permission = fleetOfFive();
        permission.storeRead(Time { 0ms }, Time { 0ms });
        int reads = 0;
        Time reportedAt { 0ms };
        for (Time now { 0ms }; now < Time { 60s }; now += 100ms) {
            if (now - reportedAt >= reportPeriod) {
                reportedAt = now;
                for (const char* host : { "b", "c", "d", "e" })
                    permission.contacted(host, now - 20ms, now);
            }
            if (permission.needsStoreRead(now)) {
                permission.storeRead(now, now);
                ++reads;
            }
        }
        EXPECT_LE(reads, 15);
    }
}

// Guards against a host that relies for long on a list of hosts that it read while the others registered.
TEST(PrimaryPermission, ReadsTheStoreAgainSoonAfterTheStart)
{
    PrimaryPermission permission = fleetOfFive();
    permission.storeRead(Time { 0ms }, Time { 0ms });
    permission.storeRead(Time { 4s }, Time { 4s });
    for (const char* host : { "b", "c", "d", "e" })
        permission.contacted(host, Time { 7900ms }, Time { 7900ms });
    EXPECT_TRUE(permission.isValid(Time { 7999ms }));
    EXPECT_FALSE(permission.isValid(Time { 8s }));
}

// Guards against hosts that lose the permission because the store cannot be reached just when it is to be
// read again (trouble-1 of deployment maillebois-prod: five of nine hosts, one second after they were cut off
// from the store).
TEST(PrimaryPermission, OutlivesOutageThatBeginsBeforeARead)
{
    for (Duration startOfOutage = 10s; startOfOutage < 30s; startOfOutage += 500ms) {
        PrimaryPermission permission = fleetOfFive();
        Time now { 0ms };
        for (; now < Time { startOfOutage }; now += 100ms) {
            for (const char* host : { "b", "c" })
                permission.contacted(host, now, now);
            if (permission.needsStoreRead(now))
                permission.storeRead(now, now);
        }
        // A third of the uptime, and 7 s in the long run: the outages of these deployments.
        const Duration outage = std::min<Duration>(startOfOutage / 3, 7s);
        for (const char* host : { "b", "c" })
            permission.contacted(host, now + outage, now + outage);
        EXPECT_TRUE(permission.isValid(now + outage)) << startOfOutage.count();
    }
}
