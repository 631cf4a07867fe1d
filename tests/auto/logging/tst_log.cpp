#include "logging/log.h"

#include <cstdio>
#include <fstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

// Guards against log lines that a JSON parser rejects: fields may contain line breaks, quotes, bytes that are
// not UTF-8, and format directives.
TEST(Log, WritesOneJsonObjectPerEvent)
{
    const std::string path = testing::TempDir() + "/parsleytack-log-" + std::to_string(::getpid());
    Logging::configure({ path, "host1", true });
    Logging::write(Logging::EventId::CatalogRejected, { { "reason", "line\nbreak \"quoted\" \xff %s" } });
    Logging::write(Logging::EventId::CatalogAdopted);
    std::ifstream file(path);
    std::string line;
    ASSERT_TRUE(std::getline(file, line));
    const auto json = nlohmann::json::parse(line.substr(line.find('{')), nullptr, false);
    ASSERT_TRUE(json.is_object()) << line;
    EXPECT_EQ(json["event"], 401);
    EXPECT_EQ(json["name"], "catalog_rejected");
    EXPECT_EQ(json["host"], "host1");
    EXPECT_NE(line.find("WARNING"), std::string::npos);
    ASSERT_TRUE(std::getline(file, line));
    EXPECT_NE(line.find("catalog_adopted"), std::string::npos);
    std::remove(path.c_str());
}
