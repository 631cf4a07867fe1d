#include "core/directory/missingupstreams.h"

#include <gtest/gtest.h>

using Directory::MissingUpstreams;
using namespace std::chrono_literals;
using Model::Time;

// Guards against upstreams that are dropped because their entries expired while the store was away.
TEST(MissingUpstreams, AnEntryThatComesBackWasNeverGone)
{
    MissingUpstreams missingUpstreams;
    missingUpstreams.missing("db", Time { 10s });
    EXPECT_TRUE(missingUpstreams.takeGone(Time { 12s }).empty());
    missingUpstreams.seen("db");
    EXPECT_TRUE(missingUpstreams.takeGone(Time { 20s }).empty());
}

// Guards against work for an upstream that left while the store's history was lost.
TEST(MissingUpstreams, AnEntryThatStaysAwayIsGoneOnce)
{
    MissingUpstreams missingUpstreams;
    missingUpstreams.missing("db", Time { 10s });
    missingUpstreams.missing("db", Time { 12s });
    EXPECT_EQ(missingUpstreams.takeGone(Time { 12s + 500ms }), std::vector<std::string> { "db" });
    EXPECT_TRUE(missingUpstreams.takeGone(Time { 20s }).empty());
}
