#include "platform/storeclient.h"
#include "sessionplatform/rowstore.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace Adapter;
using namespace std::chrono_literals;

namespace {

/// A store, and a client that has a process to itself.
struct Fixture {
    Standins::RowStore store { [](const std::string&, const std::string&) { return true; } };
    StoreClient client { store.address(), std::make_shared<StoreEpoch>() };

    std::uint64_t versionOf(const std::string& key) { return client.row("table", key).rows.at(0).version; }
};

StoreWrite write(const std::string& key, std::uint64_t expectedVersion)
{
    return { { "table", key, "own" }, expectedVersion };
}

}

// Guards against a host that never reads a table of several pages, since it begins again with the first one
// each time that a later one fails.
TEST(StoreClient, ContinuesTableWithPageThatFailed)
{
    Fixture fixture;
    const int count = 1200;
    for (int i = 0; i < count; ++i)
        fixture.store.set("table", "row-" + std::to_string(1000000 + i), "first");
    TableRead read;
    read.answer = fixture.client.rows("table");
    read.answer.rows.resize(500);
    read.lastKey = read.answer.rows.back().key;
    const std::uint64_t version = read.answer.version;
    fixture.store.setUnavailable(true);
    EXPECT_EQ(fixture.client.rows("table", read).status, StoreStatus::Unavailable);
    EXPECT_EQ(read.answer.rows.size(), 500U);
    fixture.store.setUnavailable(false);
    fixture.store.set("table", "row-1000000", "changed meanwhile");
    const StoreAnswer all = fixture.client.rows("table", read);
    EXPECT_EQ(all.rows.size(), static_cast<std::size_t>(count));
    // The first page was not read again: what has changed there is among the changes since its version.
    EXPECT_EQ(all.version, version);
    EXPECT_EQ(fixture.client.changes("table", all.version, 0ms).rows.at(0).value, "changed meanwhile");
    EXPECT_TRUE(read.lastKey.empty());
}

// Guards against a table whose pages come from different copies of the store.
TEST(StoreClient, BeginsTableAgainIfStoreWasRestoredBetweenPages)
{
    Fixture fixture;
    fixture.store.set("table", "row", "first");
    fixture.store.saveCopy();
    TableRead read;
    read.answer = fixture.client.rows("table");
    read.lastKey = "row";
    fixture.store.restore();
    EXPECT_EQ(fixture.client.rows("table", read).status, StoreStatus::Refused);
    EXPECT_TRUE(read.lastKey.empty());
    EXPECT_EQ(fixture.client.rows("table", read).rows.size(), 1U);
}

// Guards against a row that looks older than the one that it replaces, since the store was restored from an
// older copy in between and counts from there.
TEST(StoreClient, VersionsRiseAfterStoreWasRestored)
{
    Fixture fixture;
    fixture.store.set("table", "key", "first");
    fixture.store.saveCopy();
    for (int i = 0; i < 5; ++i)
        fixture.store.set("table", "key", "lost");
    const std::uint64_t lost = fixture.versionOf("key");
    fixture.store.restore();
    EXPECT_GT(fixture.versionOf("key"), lost);
    EXPECT_GT(fixture.client.rows("table").version, lost);
}

// Guards against changes that a host misses because the restored store has reached the version again that the
// host has read up to.
TEST(StoreClient, RefusesChangesSinceVersionOfBeforeRestoration)
{
    Fixture fixture;
    fixture.store.set("table", "key", "first");
    fixture.store.saveCopy();
    fixture.store.set("table", "key", "lost");
    const std::uint64_t version = fixture.client.rows("table").version;
    fixture.store.restore();
    EXPECT_EQ(fixture.client.changes("table", version, 0ms).status, StoreStatus::Refused);
    fixture.store.set("table", "key", "again");
    EXPECT_EQ(fixture.client.changes("table", version, 0ms).status, StoreStatus::Refused);
    fixture.store.set("table", "key", "later");
    EXPECT_EQ(fixture.client.changes("table", version, 0ms).status, StoreStatus::Refused);
    const StoreAnswer all = fixture.client.rows("table");
    EXPECT_EQ(all.rows.at(0).value, "later");
    EXPECT_EQ(fixture.client.changes("table", all.version, 0ms).status, StoreStatus::Done);
}

// Guards against a conditional write whose condition holds by chance: the restored store has given the
// expected version to another content of the row.
TEST(StoreClient, WritesNothingThatExpectsVersionOfBeforeRestoration)
{
    Fixture fixture;
    fixture.store.saveCopy();
    fixture.store.set("table", "key", "lost");
    const std::uint64_t version = fixture.versionOf("key");
    fixture.store.restore();
    fixture.store.set("table", "key", "again");
    const std::uint64_t newVersion = fixture.versionOf("key");
    EXPECT_EQ(fixture.client.commit({ write("key", version) }).status, StoreStatus::Refused);
    EXPECT_EQ(fixture.client.row("table", "key").rows.at(0).value, "again");
    EXPECT_EQ(fixture.client.commit({ write("key", newVersion) }).status, StoreStatus::Done);
}

// Guards against the same where this write is the first call after the restoration: that it was carried out
// shows only afterwards, and it must not be taken for a success.
TEST(StoreClient, ReportsNoSuccessOfWriteAcrossRestoration)
{
    Fixture fixture;
    fixture.store.saveCopy();
    fixture.store.set("table", "key", "lost");
    const std::uint64_t version = fixture.versionOf("key");
    fixture.store.restore();
    fixture.store.set("table", "key", "again");
    EXPECT_EQ(fixture.client.commit({ write("key", version) }).status, StoreStatus::Unknown);
}

// Guards against hosts that miss the rows behind a page which a few large rows of another writer have filled,
// or behind a key that cannot stand in a query as it is.
TEST(StoreClient, ReadsAllPagesOfTable)
{
    Fixture fixture;
    const int large = 40;
    for (int i = 0; i < large; ++i)
        fixture.store.set("table", "odd & large #" + std::to_string(i), std::string(60000, 'x'));
    const int small = 1100;
    for (int i = 0; i < small; ++i)
        fixture.store.set("table", "row-" + std::to_string(i), "value");
    const StoreAnswer all = fixture.client.rows("table");
    EXPECT_EQ(all.status, StoreStatus::Done);
    EXPECT_FALSE(all.hasMore);
    ASSERT_EQ(all.rows.size(), static_cast<std::size_t>(large + small));
    const auto isKeyLess = [](const StoreRow& a, const StoreRow& b) { return a.key < b.key; };
    EXPECT_TRUE(std::ranges::is_sorted(all.rows, isKeyLess));
    EXPECT_EQ(fixture.client.row("table", "odd & large #7").rows.size(), 1U);
}
