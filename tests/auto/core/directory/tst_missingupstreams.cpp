#include "core/directory/missingupstreams.h"

#include <gtest/gtest.h>

using Directory::MissingUpstreams;
using namespace std::chrono_literals;
using Model::Time;

// Guards against the removal of running upstreams whose entries expired during an outage of the store.
TEST(MissingUpstreams, EntrySeenAgainDoesNotExpire)
{
    MissingUpstreams missingUpstreams;
    missingUpstreams.entryMissing("db", Time { 10s });
    EXPECT_TRUE(missingUpstreams.takeExpired(Time { 12s }).empty());
    missingUpstreams.entrySeen("db");
    EXPECT_TRUE(missingUpstreams.takeExpired(Time { 20s }).empty());
}

// Guards against requests to an upstream that was deregistered while the store's change history was lost.
TEST(MissingUpstreams, MissingEntryExpiresOnce)
{
    MissingUpstreams missingUpstreams;
    missingUpstreams.entryMissing("db", Time { 10s });
    missingUpstreams.entryMissing("db", Time { 12s });
    EXPECT_EQ(missingUpstreams.takeExpired(Time { 12s + 500ms }), std::vector<std::string> { "db" });
    EXPECT_TRUE(missingUpstreams.takeExpired(Time { 20s }).empty());
}
