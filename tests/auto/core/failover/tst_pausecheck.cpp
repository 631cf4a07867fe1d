#include "core/failover/pausecheck.h"

#include <gtest/gtest.h>

using namespace Failover;
using namespace std::chrono_literals;
using Model::Time;

// Guards against replicas whose slots are taken by the checks of a large fleet, and against writes that wait
// for long because no host checks.
TEST(PauseCheck, HostsOfLargeFleetCheckInTurn)
{
    constexpr int hosts = 810;
    std::vector<PauseCheck> checks;
    for (int host = 0; host < hosts; ++host) {
        checks.emplace_back("host-" + std::to_string(host));
        checks.back().setHostCount(hosts);
    }
    std::map<int, int> checksBySecond;
    for (int ms = 0; ms < 20000; ms += 100) {
        for (PauseCheck& check : checks)
            checksBySecond[ms / 1000] += check.isDue("ledger", Time(std::chrono::milliseconds(ms))) ? 1 : 0;
    }
    for (const auto& [second, count] : checksBySecond) {
        EXPECT_GE(count, 1);
        EXPECT_LE(count, 100);
    }
}

// Guards against a host that does not check again after writes have waited before.
TEST(PauseCheck, ChecksAgainAfterPause)
{
    PauseCheck check("host-0");
    EXPECT_TRUE(check.isDue("ledger", Time(0s)));
    EXPECT_FALSE(check.isDue("ledger", Time(1s)));
    EXPECT_TRUE(check.isDue("ledger", Time(2s)));
    EXPECT_TRUE(check.isDue("ledger", Time(60s)));
    EXPECT_TRUE(check.isDue("other", Time(60s)));
}
