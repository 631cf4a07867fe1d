#include "core/directory/departures.h"

#include <gtest/gtest.h>

using Directory::Departures;
using namespace std::chrono_literals;
using Model::Time;

// Guards against upstreams that are dropped because their entries expired while the store was away.
TEST(Departures, AnEntryThatComesBackWasNeverGone)
{
    Departures departures;
    departures.missing("db", Time { 10s });
    EXPECT_TRUE(departures.takeGone(Time { 12s }).empty());
    departures.seen("db");
    EXPECT_TRUE(departures.takeGone(Time { 20s }).empty());
}

// Guards against work for an upstream that left while the store's history was lost.
TEST(Departures, AnEntryThatStaysAwayIsGoneOnce)
{
    Departures departures;
    departures.missing("db", Time { 10s });
    departures.missing("db", Time { 12s });
    EXPECT_EQ(departures.takeGone(Time { 12s + 500ms }), std::vector<std::string> { "db" });
    EXPECT_TRUE(departures.takeGone(Time { 20s }).empty());
}
