#include "core/catalog/parsedocument.h"
#include "core/catalog/version.h"
#include "testdocuments.h"

#include <random>

#include <gtest/gtest.h>

using namespace Catalog;

namespace {

Faults faultsOf(std::string_view json)
{
    const Checked<Document> parsed = parseDocument(json);
    return parsed ? Faults {} : parsed.error();
}

}

// Guards against fields that are written but not read, or read but not written.
TEST(ParseDocument, ReadsCanonicalText)
{
    Document document = TestDocuments::consistent();
    document.keys[0].state = KeyState::Withdrawn;
    document.upstreams[1].state = UpstreamState::Leaving;
    document.zones[2].state = ZoneState::Out;
    document.limits = { { "k2", "k1" }, 7, 8, 900, 2048 };
    const auto parsed = parseDocument(canonicalText(document));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(*parsed, document);
}

// Guards against a hash that depends on the order, the white space or the omitted defaults of the document as
// an operator wrote it.
TEST(ParseDocument, CanonicalTextIgnoresOrderAndOmittedDefaults)
{
    const auto left = parseDocument(R"({"zones":[{"name":"b","region":"r"},{"name":"a","region":"r"}]})");
    const auto right = parseDocument(
        R"({ "zones": [ {"state":"in","region":"r","name":"a"}, {"name":"b","region":"r"} ], "limits": {} })");
    ASSERT_TRUE(left && right);
    EXPECT_EQ(textHash(canonicalText(*left)), textHash(canonicalText(*right)));
}

// Guards against misspelt fields, for which the default would be used without notice, and against repeated
// ones.
TEST(ParseDocument, RejectsUnknownMissingAndRepeatedFields)
{
    const Faults faults
        = faultsOf(R"({"zone":[],"customers":[{"name":"a","rate":1,"brust":2}],"limits":{"queue":1}})");
    EXPECT_TRUE(TestDocuments::hasFault(faults, ObjectType::Document, "", "zone"));
    EXPECT_TRUE(TestDocuments::hasFault(faults, ObjectType::Customer, "a", "brust"));
    EXPECT_TRUE(TestDocuments::hasFault(faults, ObjectType::Customer, "a", "burst"));
    EXPECT_TRUE(TestDocuments::hasFault(faults, ObjectType::Limits, "", "queue"));
    EXPECT_FALSE(parseDocument(R"({"zones":[{"name":"a","region":"r","state":"out","state":"in"}]})"));
}

// Guards against values of another type that the JSON library would convert without notice.
TEST(ParseDocument, RejectsWrongTypes)
{
    for (const char* rate : { "1.5", "\"1\"", "true", "null", "[]", "{}", "1e3", "18446744073709551615" }) {
        const std::string json = R"({"customers":[{"name":"a","burst":1,"rate":)" + std::string(rate) + "}]}";
        EXPECT_TRUE(TestDocuments::hasFault(faultsOf(json), ObjectType::Customer, "a", "rate")) << rate;
    }
    for (const char* json : { "[]", "1", "null", R"({"zones":{}})", R"({"zones":[1]})", R"({"limits":[]})",
             R"({"routes":[{"name":"r","service":"s","open":1}]})",
             R"({"services":[{"name":"s","upstreams":["a",1]}]})", R"({"services":[{"name":7}]})",
             R"({"zones":[{"name":"a","region":"r","state":"away"}]})" })
        EXPECT_FALSE(faultsOf(json).empty()) << json;
}

// Guards against exceptions, deep recursion and excessive use of memory on malformed, huge, nested or
// randomly damaged input.
TEST(ParseDocument, RejectsMalformedHugeAndNestedInput)
{
    EXPECT_FALSE(parseDocument(""));
    EXPECT_FALSE(parseDocument("{\"zones\":[{\"name\":\"\xff\xfe\"}]}"));
    EXPECT_FALSE(parseDocument(std::string("{\0}", 3)));
    const std::string open(5'000'000, '[');
    EXPECT_FALSE(parseDocument(open));
    EXPECT_FALSE(parseDocument(open + std::string(open.size(), ']')));
    EXPECT_FALSE(parseDocument(std::string(maxDocumentBytes + 1, ' ')));
    const Faults nested = faultsOf(R"({"a":[[[[[[[[[1]]]]]]]]]})");
    ASSERT_EQ(nested.size(), 1U);
    EXPECT_EQ(nested[0].message, "the JSON text is nested too deeply");

    const std::string text = canonicalText(TestDocuments::consistent());
    std::string unknownFields = "{";
    for (int i = 0; i < 100000; ++i)
        unknownFields += "\"f" + std::to_string(i) + "\":0,";
    EXPECT_LE(faultsOf(unknownFields + "\"\":0}").size(), maxParseFaults + 1);
    const std::string versionText = canonicalText(Version { 7, "h6", "n", TestDocuments::consistent() });
    std::mt19937_64 random(1);
    for (int i = 0; i < 4000; ++i) {
        std::string damaged = i % 2 ? versionText : text;
        for (int edits = 0; edits < 3; ++edits)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        if (i % 4 == 0)
            damaged.resize(random() % damaged.size());
        (void)parseRow(damaged);
        if (const auto version = parseVersion(damaged)) {
            EXPECT_TRUE(parseVersion(canonicalText(*version)));
        }
        const auto parsed = parseDocument(damaged);
        // The canonical text of an accepted document must be valid, otherwise a peer would reject it.
        if (parsed) {
            EXPECT_TRUE(parseDocument(canonicalText(*parsed)));
        }
    }
}
