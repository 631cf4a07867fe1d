#include "core/proxy/coldlimit.h"

#include "../seeds.h"

#include <algorithm>
#include <vector>

using namespace Proxy;
using namespace std::chrono_literals;

// Guards against hosts whose shares together exceed the limit of the fleet, or leave much of it unused.
TEST(ColdLimit, SharesOfAllHostsAddUpToLimit)
{
    for (const double limit : { 0.5, 1.0, 7.0, 20.0, 65.0, 100.0, 1000.0 }) {
        for (const int hosts : { 1, 3, 65, 810 }) {
            double sum = 0;
            for (int rank = 0; rank < hosts; ++rank)
                sum += ColdLimit::shareOf(limit, hosts, rank, 4711);
            EXPECT_EQ(sum, limit) << hosts;
        }
    }
    EXPECT_EQ(ColdLimit::shareOf(10, 0, 0, 0), 0);
}

// Guards against more statements than the share in any interval of one second, also across whole seconds.
TEST(ColdLimit, HoldsInAnySecond)
{
    forEachSeed(20, [](std::mt19937_64& generator) {
        for (const double share : { 0.25, 1.0, 5.0 }) {
            ColdLimit limit;
            std::vector<Model::Time> sent;
            Model::Time now { 100s };
            for (int i = 0; i < 4000; ++i) {
                now += std::chrono::milliseconds(below(20, generator));
                if (!limit.mayRun(share, now))
                    continue;
                EXPECT_EQ(limit.nextAt(share, now), now);
                limit.record(now);
                sent.push_back(now);
            }
            const Model::Duration interval = share < 1 ? 4s : 1s;
            for (const Model::Time from : sent) {
                EXPECT_LE(std::ranges::count_if(
                              sent, [&](Model::Time at) { return at >= from && at < from + interval; }),
                    std::max(1.0, share));
            }
            EXPECT_GE(static_cast<double>(sent.size()), share * 30);
            EXPECT_FALSE(limit.mayRun(0, now + 10s));
        }
    });
}
