#include "../doctable.h"
#include "settings/hostsettings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Settings;
using Json = nlohmann::json;

namespace {

Json validSettings()
{
    const std::string curveKey(40, 'k');
    return { { "host", "h1" }, { "zone", "z1" }, { "callers", "10.0.0.1:80" }, { "operators", "10.0.0.1:81" },
        { "peers", "10.0.0.1:82" }, { "store", "10.0.0.2:9000" }, { "fleetSecret", std::string(32, 'f') },
        { "operatorSecret", std::string(16, 'o') }, { "curvePublicKey", curveKey },
        { "curveSecretKey", curveKey } };
}

/// Returns whether the settings are rejected with a message that contains the name of the field.
bool isRejectedFor(const Json& settings, const std::string& field)
{
    const auto parsed = parseHostSettings(settings.dump());
    return !parsed && parsed.error().message.find('"' + field + '"') != std::string::npos;
}

}

// Guards against a page docs/settings.md that lists other fields, or other required fields, than the daemon
// reads: both are changed by hand.
TEST(HostSettings, DocumentedFieldsMatchParser)
{
    ASSERT_TRUE(parseHostSettings(validSettings().dump()));
    std::size_t requiredCount = 0;
    for (const auto& row : readDocTable("settings.md")) {
        const std::string field = row[0].substr(1, row[0].size() - 2);
        Json wrong = validSettings();
        wrong[field] = Json::object();
        EXPECT_TRUE(isRejectedFor(wrong, field)) << field;
        Json missing = validSettings();
        missing.erase(field);
        EXPECT_EQ(isRejectedFor(missing, field), row[1] == "yes") << field;
        requiredCount += row[1] == "yes" ? 1 : 0;
    }
    EXPECT_EQ(requiredCount, validSettings().size());
    Json unknown = validSettings();
    unknown["hosts"] = "h1";
    EXPECT_TRUE(isRejectedFor(unknown, "hosts"));
}

// Guards against a daemon that starts with secrets that are too short, numbers out of range or malformed
// addresses.
TEST(HostSettings, RejectsValuesOutOfRange)
{
    const std::vector<std::pair<std::string, Json>> cases { { "fleetSecret", std::string(31, 'f') },
        { "operatorSecret", std::string(15, 'o') }, { "curvePublicKey", std::string(41, 'k') },
        { "maxCallerConnections", 0 }, { "maxCallerConnections", 100001 }, { "callerStackKib", 127 },
        { "traceSampleRate", 1.5 }, { "traceSampleRate", "1" }, { "drainTimeoutMs", -1 },
        { "drainTimeoutMs", 1.5 }, { "host", "" }, { "callers", "10.0.0.1" }, { "callers", "10.0.0.1:0" },
        { "callers", "10.0.0.1:65536" }, { "callers", "localhost:80" }, { "seeds", { "10.0.0.1:82", 5 } } };
    for (const auto& [field, value] : cases) {
        Json settings = validSettings();
        settings[field] = value;
        EXPECT_TRUE(isRejectedFor(settings, field)) << field << ' ' << value;
    }
}

// Guards against an exception of the JSON parser that ends the process without an error message, if the file
// is truncated, not an object or missing.
TEST(HostSettings, RejectsMalformedText)
{
    for (const char* text : { "", "{", "[]", "null", "\xff", "{\"host\":" })
        EXPECT_FALSE(parseHostSettings(text)) << text;
    EXPECT_FALSE(loadHostSettings("/nonexistent/file"));
}
