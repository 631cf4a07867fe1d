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

// Guards against a process that ends, or that uses another address than the row names, because of a row of
// another writer: very deeply nested, with a number out of range, or with characters that end a line.
TEST(DesiredState, RejectsOddUpstreamRows)
{
    const std::string open(30000, '[');
    const std::string closed = open + std::string(30000, ']');
    std::vector<std::string> texts { open, closed, replaced(upstreamRow, "\"seq\":4", "\"seq\":" + open),
        replaced(upstreamRow, "\"v1\"", "1e400"), replaced(upstreamRow, "\"ready\"", closed) };
    for (const std::string number : { "1e400", "1e300", "-1e300", "9999999999", "18446744073709551615",
             "4294967297", "-1", "1e-5", "null", "[2]" })
        texts.push_back(replaced(upstreamRow, "\"slots\":2", "\"slots\":" + number));
    for (const std::string number : { "1e300", "-5", "123456789012345678901234567890", "\"7\"" })
        texts.push_back(replaced(upstreamRow, "1790687213005", number));
    texts.push_back(replaced(upstreamRow, "\"coldLeftMs\":0", "\"coldLeftMs\":\"7\""));
    for (const std::string address : { "10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:99999999999",
             "10.0.0.9:80x", "10.0.0.9:", "10.0.0.9", "[::1]:80", "host:80" })
        texts.push_back(replaced(upstreamRow, "10.0.0.9:8080", address));
    for (const std::string& text : texts)
        EXPECT_FALSE(Adapter::parseUpstream("i-1", text)) << text.substr(0, 300);
    EXPECT_FALSE(Adapter::parseUpstream("i-1\r\nQUERY 1 WRITE a b", upstreamRow));
    for (const std::string number : { "1e300", "-5", "123456789012345678901234567890" }) {
        const auto upstream = Adapter::parseUpstream(
            "i-1", replaced(upstreamRow, "\"coldLeftMs\":0", "\"coldLeftMs\":" + number));
        ASSERT_TRUE(upstream);
        EXPECT_TRUE(upstream->coldFor >= 0ms && upstream->coldFor <= 24h);
    }
    // A deeply nested value in a field that is not read leaves the row valid.
    EXPECT_TRUE(Adapter::parseUpstream("i-1", replaced(upstreamRow, "\"v1\"", closed)));
    EXPECT_TRUE(Adapter::parseUpstream("i-1", upstreamRow));
}
