#include "../doctable.h"
#include "settings/proxysettings.h"

#include <set>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Settings;

namespace {

nlohmann::json validSettings()
{
    return { { "host", "front-1" }, { "zone", "north" }, { "callers", "10.0.0.1:8465" },
        { "probe", "10.0.0.1:8460" }, { "probePath", "/ready" }, { "ip", "10.0.0.1" },
        { "peerPorts", { 7560, 7575 } }, { "store", "10.0.0.9:8466" }, { "promoter", "10.0.0.8:8466" },
        { "promoterChecksFencing", false }, { "shutdownMs", 6000 }, { "maxDescriptors", 4200 },
        { "forgetHostsAfterS", 60 }, { "traceSampleRate", 0.5 }, { "scheduleStatements", true },
        { "balanceUpstreams", true }, { "forwardStatements", true }, { "memoryMb", 160 },
        { "clientMemoryMb", 48 }, { "messageTimeoutMs", 5000 }, { "pipelinedKb", 1200 },
        { "sessionValuesKb", 1300 }, { "usageWindowS", 5 }, { "usageDueS", 12 }, { "processorShare", 0.25 },
        { "toleratedZoneLosses", 2 } };
}

}

// Guards against a field of the file that is stored in the wrong member.
TEST(ProxySettings, ReadsAllFields)
{
    const auto settings = parseProxySettings(validSettings().dump());
    ASSERT_TRUE(settings) << settings.error().message;
    EXPECT_EQ(settings->callers.port, 8465);
    EXPECT_EQ(settings->probePath, "/ready");
    EXPECT_EQ(settings->firstPeerPort, 7560);
    EXPECT_EQ(settings->lastPeerPort, 7575);
    EXPECT_FALSE(settings->promoterChecksFencing);
    EXPECT_EQ(settings->shutdownMs, 6000);
    EXPECT_EQ(settings->forgetHostsAfterS, 60);
    EXPECT_EQ(settings->traceSampleRate, 0.5);
    EXPECT_EQ(settings->usageWindowS, 5);
    EXPECT_EQ(settings->usageDueS, 12);
    EXPECT_EQ(settings->processorShare, 0.25);
    EXPECT_EQ(settings->toleratedZoneLosses, 2);
    EXPECT_TRUE(settings->scheduleStatements);
    EXPECT_TRUE(settings->balanceUpstreams);
    EXPECT_TRUE(settings->forwardStatements);
    EXPECT_EQ(settings->memoryMb, 160);
    EXPECT_EQ(settings->clientMemoryMb, 48);
    EXPECT_EQ(settings->messageTimeoutMs, 5000);
    EXPECT_EQ(settings->pipelinedKb, 1200);
    EXPECT_EQ(settings->sessionValuesKb, 1300);
}

// Guards against a host that lets clients use more memory than its machine has, or too little to serve one.
TEST(ProxySettings, MemoryOfClientsFollowsFromMachine)
{
    ProxySettings settings;
    EXPECT_EQ(settings.effectiveClientMemoryMb(), 256);
    settings.memoryMb = 160;
    EXPECT_EQ(settings.effectiveClientMemoryMb(), 40);
    settings.memoryMb = 32;
    EXPECT_EQ(settings.effectiveClientMemoryMb(), 16);
    settings.clientMemoryMb = 20;
    EXPECT_EQ(settings.effectiveClientMemoryMb(), 20);
}

// Guards against a process that starts with a missing or invalid field, and against an error message that
// does not contain the name of the field.
TEST(ProxySettings, ErrorNamesInvalidField)
{
    for (const char* field :
        { "host", "zone", "callers", "probe", "probePath", "ip", "peerPorts", "store", "promoter" }) {
        auto json = validSettings();
        json.erase(field);
        const auto settings = parseProxySettings(json.dump());
        ASSERT_FALSE(settings) << field;
        EXPECT_NE(settings.error().message.find(field), std::string::npos) << settings.error().message;
    }
    for (const auto& [field, value] : std::vector<std::pair<std::string, nlohmann::json>> {
             { "peerPorts", { 7575, 7560 } }, { "peerPorts", { 1 } }, { "callers", "localhost:1" },
             { "shutdownMs", -1 }, { "maxDescriptors", 10 }, { "forgetHostsAfterS", 0 },
             { "traceSampleRate", 1.5 }, { "clientMemoryMb", 1 }, { "messageTimeoutMs", 0 },
             { "pipelinedKb", 1000 }, { "sessionValuesKb", 1000 } }) {
        auto json = validSettings();
        json[field] = value;
        EXPECT_FALSE(parseProxySettings(json.dump())) << field;
    }
    EXPECT_FALSE(parseProxySettings("[settings]"));
}

// Guards against a page docs/proxysettings.md that describes other fields than the program reads: both are
// changed by hand.
TEST(ProxySettings, DocumentedFieldsMatchReadFields)
{
    std::set<std::string> documented;
    for (const auto& row : readDocTable("proxysettings.md"))
        documented.insert(row.at(0).substr(1, row.at(0).size() - 2));
    std::set<std::string> read;
    const auto json = validSettings();
    for (const auto& [field, value] : json.items())
        read.insert(field);
    EXPECT_EQ(documented, read);
}

// Guards against a process that does not start because the platform added a field to the file.
TEST(ProxySettings, IgnoresUnknownFields)
{
    auto json = validSettings();
    json["addedLater"] = true;
    EXPECT_TRUE(parseProxySettings(json.dump()));
}
