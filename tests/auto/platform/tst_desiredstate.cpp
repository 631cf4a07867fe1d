#include "platform/desiredstate.h"

#include <vector>

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

const std::string configurationRow = R"({"version":7,
  "routes":[{"name":"r-1","host":"xapu","routeKind":"bounded","timeoutMs":1500,"targetLatencyMs":400,
             "priority":2,"service":"huvo","maxStalenessMs":1500,"allowAnonymous":false,"new":1},
            {"name":"r-2","host":"lepu","service":"huvo"}],
  "services":[{"name":"huvo","maxConns":16,"syncReplicas":1,"coldStartS":0.0,"coldPerS":9.0}],
  "limits":{"txIdleMs":2000},
  "tenants":[{"name":"nypu","apiKeys":["k1","k2"],"ratePerS":129,"burst":130}]})";

const std::string upstreamRow = R"({"service":"huvo","address":"10.0.0.9:8080","zone":"north","version":"v1",
  "slots":2,"state":"ready","coldLeftMs":0,"dbRole":"replica","seq":4,"born":1790687213005})";

std::string replaced(std::string text, const std::string& what, const std::string& with)
{
    return text.replace(text.find(what), what.size(), with);
}

}

// Guards against routes, services, limits or customers with wrong values or defaults.
TEST(DesiredState, ParsesConfiguration)
{
    const auto parsed = Adapter::parseConfiguration(configurationRow);
    ASSERT_TRUE(parsed);
    const Directory::Configuration& configuration = **parsed;
    EXPECT_EQ(configuration.version, 7U);
    const Directory::Route* route = configuration.findRoute("xapu");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->kind, Directory::RouteKind::Bounded);
    EXPECT_EQ(route->statementTimeout, 1500ms);
    EXPECT_EQ(route->maxStaleness, 1500ms);
    EXPECT_EQ(configuration.findRoute("lepu")->kind, Directory::RouteKind::Primary);
    EXPECT_EQ(configuration.findService("huvo")->maxConnections, 16);
    EXPECT_EQ(configuration.findService("huvo")->synchronousReplicas, 1);
    EXPECT_EQ(configuration.findService("huvo")->coldRequestsPerSecond, 0);
    EXPECT_EQ(configuration.findCustomerOfKey("k2")->rate, 129);
    EXPECT_EQ(configuration.limits.idleTransaction, 2s);
}

// Guards against adopting a configuration of which only a part could be parsed.
TEST(DesiredState, RejectsInvalidConfigurationAsAWhole)
{
    for (const std::string& text :
        std::vector<std::string> { "{", "[]", replaced(configurationRow, "\"version\":7,", ""),
            replaced(configurationRow, "\"apiKeys\":[\"k1\",\"k2\"],", ""),
            replaced(configurationRow, "1500", "\"soon\"") })
        EXPECT_FALSE(Adapter::parseConfiguration(text)) << text;
}

// Any process may write to the table of databases. Guards against treating a row that is not a
// valid registration as a database.
TEST(DesiredState, AcceptsOnlyValidUpstreamRows)
{
    const auto upstream = Adapter::parseUpstream("i-1", upstreamRow);
    ASSERT_TRUE(upstream);
    EXPECT_EQ(upstream->service, "huvo");
    EXPECT_EQ(upstream->role, Directory::Role::Replica);
    EXPECT_EQ(upstream->startedAt, 1790687213005);
    for (const std::string& text : std::vector<std::string> { "\xff\xfe", "{}", "7",
             replaced(upstreamRow, "ready", "asleep"), replaced(upstreamRow, "replica", "witness"),
             replaced(upstreamRow, "\"slots\":2", "\"slots\":\"2\""),
             replaced(upstreamRow, "\"slots\":2", "\"slots\":0"),
             replaced(upstreamRow, "\"zone\":\"north\",", ""), replaced(upstreamRow, "10.0.0.9:8080", "") })
        EXPECT_FALSE(Adapter::parseUpstream("i-1", text)) << text;
}
