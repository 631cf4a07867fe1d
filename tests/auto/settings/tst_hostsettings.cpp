#include "settings/hostsettings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Settings;
using Json = nlohmann::json;

namespace {

Json validSettings()
{
    return { { "host", "h1" }, { "zone", "z1" }, { "callers", "127.0.0.1:7201" },
        { "operators", "127.0.0.1:7301" }, { "peers", "127.0.0.1:7401" }, { "store", "127.0.0.1:7001" },
        { "seeds", { "127.0.0.1:7402" } }, { "fleetSecret", std::string(32, 'f') },
        { "operatorSecret", std::string(16, 'o') }, { "curvePublicKey", std::string(40, 'p') },
        { "curveSecretKey", std::string(40, 's') } };
}

std::string errorOf(const Json& json)
{
    const auto settings = parseHostSettings(json.dump());
    return settings ? std::string() : settings.error().message;
}

}

TEST(HostSettings, ReadsAllFields)
{
    const auto settings = parseHostSettings(validSettings().dump());
    ASSERT_TRUE(settings) << settings.error().message;
    EXPECT_EQ(settings->callers.text(), "127.0.0.1:7201");
    EXPECT_EQ(settings->seeds.size(), 1U);
}

// Guards against a process that starts with a wrong field, or an error that does not name it.
TEST(HostSettings, NamesTheWrongField)
{
    const Json wrongValues { { "host", "" }, { "zone", 5 }, { "callers", "127.0.0.1" },
        { "operators", "x:1" }, { "peers", "127.0.0.1:0" }, { "store", "127.0.0.1:65536" },
        { "seeds", "127.0.0.1:1" }, { "fleetSecret", "short" }, { "operatorSecret", "short" },
        { "curvePublicKey", std::string(41, 'p') }, { "curveSecretKey", "" }, { "maxCallerConnections", 0 },
        { "callerStackKib", 1 }, { "drainTimeoutMs", -1 }, { "traceSampleRate", 1.5 }, { "unknown", 1 } };
    for (const auto& [name, value] : wrongValues.items()) {
        Json settings = validSettings();
        settings[name] = value;
        EXPECT_NE(errorOf(settings).find("\"" + name + "\""), std::string::npos)
            << name << ": " << errorOf(settings);
    }
}

TEST(HostSettings, NamesTheMissingField)
{
    const Json valid = validSettings();
    for (const auto& [name, value] : valid.items()) {
        if (name == "seeds")
            continue;
        Json settings = validSettings();
        settings.erase(name);
        EXPECT_NE(errorOf(settings).find("\"" + name + "\""), std::string::npos) << name;
    }
}

TEST(HostSettings, RefusesWhatIsNotAnObject)
{
    for (const char* text : { "", "[]", "{", "null", "\xff" })
        EXPECT_FALSE(parseHostSettings(text)) << text;
}
