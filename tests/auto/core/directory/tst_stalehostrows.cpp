#include "core/directory/stalehostrows.h"

#include <array>
#include <vector>

#include <gtest/gtest.h>

using namespace Directory;
using namespace std::chrono_literals;
using Model::Time;

namespace {

constexpr Model::Duration lifetime = 600s;

/// Calls takeNext() once a second until `end`, with a report of `reporter` before each call unless it is
/// empty. The rows found are not deleted, so that they may be found again.
std::vector<HostEntry> takeUntil(StaleHostRows& rows, Time from, Time end, const std::string& reporter = {})
{
    std::vector<HostEntry> result;
    for (Time now = from; now < end; now += 1s) {
        if (!reporter.empty())
            rows.reportReceived(reporter, now);
        if (const auto entry = rows.takeNext(now))
            result.push_back(*entry);
    }
    return result;
}

}

// Guards against rows of killed hosts that remain in the store forever.
TEST(StaleHostRows, FindsRowOfHostThatNeverReports)
{
    StaleHostRows rows("a", lifetime);
    rows.setRow("a", 3, Time { 0s });
    rows.setRow("b", 7, Time { 0s });
    EXPECT_TRUE(takeUntil(rows, Time { 0s }, Time { 600s }).empty());
    const auto found = rows.takeNext(Time { 600s });
    ASSERT_TRUE(found);
    EXPECT_EQ(found->host, "b");
    EXPECT_EQ(found->version, 7U);
    rows.rowDeleted("b");
    EXPECT_TRUE(takeUntil(rows, Time { 601s }, Time { 3000s }).empty());
}

// Guards against the deletion of the row of a live or restarted host.
TEST(StaleHostRows, KeepsRowOfReportingOrRestartedHost)
{
    StaleHostRows rows("a", lifetime);
    rows.setRow("b", 7, Time { 0s });
    EXPECT_TRUE(takeUntil(rows, Time { 0s }, Time { 2000s }, "b").empty());
    EXPECT_TRUE(takeUntil(rows, Time { 2000s }, Time { 2500s }).empty());
    rows.setRow("b", 9, Time { 2500s });
    rows.setRow("b", 9, Time { 2900s });
    EXPECT_TRUE(takeUntil(rows, Time { 2500s }, Time { 3100s }).empty());
    EXPECT_TRUE(rows.takeNext(Time { 3100s }));
}

// Guards against a host that deletes the rows of all others when it resumes after a pause, during which it
// received no reports.
TEST(StaleHostRows, RestartsLifetimesAfterPauseOfThisProcess)
{
    StaleHostRows rows("a", lifetime);
    rows.setRow("b", 7, Time { 0s });
    EXPECT_FALSE(rows.takeNext(Time { 1s }));
    EXPECT_FALSE(rows.takeNext(Time { 5000s }));
    EXPECT_TRUE(takeUntil(rows, Time { 5001s }, Time { 5600s }).empty());
    EXPECT_TRUE(rows.takeNext(Time { 5600s }));
}

// Guards against a host with a faulty network that deletes the rows of the whole fleet at once.
TEST(StaleHostRows, FindsOneRowAtATime)
{
    StaleHostRows rows("a", lifetime);
    for (const char* host : { "b", "c", "d", "e" })
        rows.setRow(host, 7, Time { 0s });
    EXPECT_EQ(takeUntil(rows, Time { 0s }, Time { 630s }).size(), 1U);
}

// Guards against rows that never become stale because every listing of all rows restarts their lifetimes.
TEST(StaleHostRows, ListingDoesNotRestartLifetimes)
{
    StaleHostRows rows("a", lifetime);
    rows.setAll({ { "a", 3 }, { "b", 7 }, { "c", 8 } }, Time { 0s });
    EXPECT_TRUE(takeUntil(rows, Time { 0s }, Time { 500s }).empty());
    rows.setAll({ { "a", 3 }, { "b", 7 } }, Time { 500s });
    EXPECT_TRUE(takeUntil(rows, Time { 500s }, Time { 600s }).empty());
    const auto found = rows.takeNext(Time { 600s });
    ASSERT_TRUE(found);
    EXPECT_EQ(found->host, "b");
    rows.rowDeleted("b");
    EXPECT_TRUE(takeUntil(rows, Time { 601s }, Time { 2000s }).empty());
}

// Guards against a stale row that several hosts try to delete, or none.
TEST(StaleHostRows, EachRowIsDeletedByOneHost)
{
    const std::array<std::string, 3> hosts { "a", "b", "c" };
    int takers = 0;
    for (const std::string& self : hosts) {
        StaleHostRows rows(self, lifetime);
        for (const std::string& host : hosts)
            rows.setRow(host, 7, Time { 0s });
        rows.setRow("gone", 8, Time { 0s });
        for (Time now { 0s }; now <= Time { 600s }; now += 1s) {
            for (const std::string& host : hosts)
                rows.reportReceived(host, now);
            const auto entry = rows.takeNext(now);
            takers += entry && entry->host == "gone" ? 1 : 0;
        }
    }
    EXPECT_EQ(takers, 1);
}
