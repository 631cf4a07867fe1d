#include "core/allowance/reportedversions.h"

#include <gtest/gtest.h>

using namespace Allowance;
using namespace std::chrono_literals;
using Model::Time;

namespace {

constexpr Model::Duration reportPeriod = 1s;
const std::vector<std::string> hosts { "a", "b" };

}

// Guards against a host with a replaced limit that counts a customer's operations, and against one that is
// left out although it follows: versions may come more often than reports.
TEST(ReportedVersions, LeavesOutHostThatStaysAtOlderVersion)
{
    ReportedVersions versions;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        const Time now { version * 1s };
        versions.reported("a", version, now);
        versions.reported("b", version > 2 ? version - 2 : 0, now);
        EXPECT_EQ(versions.upToDate(hosts, reportPeriod, now), hosts);
    }
    EXPECT_EQ(versions.olderThan(20), 1);
    EXPECT_EQ(versions.upToDate(hosts, reportPeriod, Time { 30s }), std::vector<std::string> { "a" });
    versions.reported("b", 20, Time { 31s });
    EXPECT_EQ(versions.upToDate(hosts, reportPeriod, Time { 31s }), hosts);
}

// Guards against a plan without any host: a host that is itself left out may know no other.
TEST(ReportedVersions, KeepsHostsIfAllAreOutdated)
{
    ReportedVersions versions;
    versions.reported("a", 1, Time { 1s });
    versions.reported("b", 2, Time { 1s });
    versions.retainHosts({ "a" });
    EXPECT_EQ(versions.upToDate({ "a" }, reportPeriod, Time { 60s }), std::vector<std::string> { "a" });
}

// Guards against a host that counts as up to date again, because the versions after its own were forgotten.
TEST(ReportedVersions, RemembersThatVersionWasReplaced)
{
    ReportedVersions versions;
    versions.reported("b", 1, Time { 1s });
    for (std::uint64_t version = 2; version < 200; ++version)
        versions.reported("a", version, Time { version * 1s });
    EXPECT_EQ(versions.upToDate(hosts, reportPeriod, Time { 200s }), std::vector<std::string> { "a" });
}
