#include "gateway/callerrequest.h"

#include <map>

#include <gtest/gtest.h>

using namespace Gateway;
using Model::ErrorCode;

namespace {

using Headers = std::map<std::string, std::string, std::less<>>;

Model::Result<CallerRequest> parse(
    std::vector<std::string> path, const std::string& body, const Headers& headers = {})
{
    const auto header = [&headers](std::string_view name) {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    };
    return parseCallerRequest({ std::move(path), header, body });
}

}

// Guards against a path segment, header or body field that is ignored or stored in the wrong member.
TEST(CallerRequest, ParsesStatement)
{
    const auto request
        = parse({ "register", "statement" }, R"({"sql":"PUT k ?","params":["v"],"write":true})",
            { { "Authorization", "Bearer abc" }, { "Parsleytack-Timeout-Ms", "250" },
                { "Parsleytack-Request-Id", "5-a" } });
    ASSERT_TRUE(request);
    EXPECT_EQ(request->route, "register");
    EXPECT_EQ(request->key, "abc");
    EXPECT_EQ(request->params, R"(["v"])");
    EXPECT_EQ(request->timeout, std::chrono::milliseconds(250));
    EXPECT_TRUE(request->isWrite);
}

// Guards against a transaction path that selects the wrong operation, for example commit for rollback.
TEST(CallerRequest, ParsesTransactionPaths)
{
    EXPECT_EQ(parse({ "r", "transaction" }, "")->operation, Operation::Begin);
    EXPECT_EQ(
        parse({ "r", "transaction", "t" }, R"({"sql":"GET k"})")->operation, Operation::TransactionStatement);
    EXPECT_EQ(parse({ "r", "transaction", "t", "commit" }, "")->operation, Operation::Commit);
    EXPECT_EQ(parse({ "r", "transaction", "t", "rollback" }, "{}")->operation, Operation::Rollback);
}

// Guards against malformed or misplaced input that is ignored or misinterpreted instead of being rejected.
TEST(CallerRequest, RejectsMalformedInput)
{
    const std::string good = R"({"sql":"GET k"})";
    for (const char* body : { "", "[]", "{", "{}", R"({"sql":5})", R"({"sql":"GET k","other":1})",
             R"({"sql":"GET k","params":{}})", R"({"sql":"GET k","write":1})",
             R"({"sql":"GET k","maxAgeMs":-1})", R"({"sql":"PUT k v","write":true,"maxAgeMs":1})",
             "{\"sql\":\"\xff\xfe\"}" })
        EXPECT_EQ(parse({ "r", "statement" }, body).error().code, ErrorCode::InvalidRequest) << body;
    EXPECT_EQ(parse({ "r", "transaction" }, good).error().code, ErrorCode::InvalidRequest);
    EXPECT_EQ(parse({ "r" }, good).error().code, ErrorCode::RouteUnknown);
    EXPECT_EQ(parse({ "r", "transaction", "t", "x" }, "").error().code, ErrorCode::RouteUnknown);
    EXPECT_EQ(parse({ "r", "transaction", "t", "commit", "x" }, "").error().code, ErrorCode::RouteUnknown);
    for (const char* timeout : { "0", "-1", "30001", "5s", "99999999999999999999" })
        EXPECT_FALSE(parse({ "r", "statement" }, good, { { "Parsleytack-Timeout-Ms", timeout } })) << timeout;
    for (const char* authorization : { "Bearer ", "Basic abc", "abc" })
        EXPECT_FALSE(parse({ "r", "statement" }, good, { { "Authorization", authorization } }))
            << authorization;
    EXPECT_FALSE(parse({ "r", "statement" }, good, { { "Parsleytack-Request-Id", "5-a" } }));
}

// Guards against a response that does not show the caller whether its statement has run.
TEST(CallerRequest, ResponseContainsOutcome)
{
    EXPECT_EQ(formatResponse({ std::nullopt, R"({"rows":[]})", {}, {} }),
        R"({"outcome":"done","result":{"rows":[]}})");
    const Model::Error error = Model::makeError(ErrorCode::OutcomeUnknown).value();
    EXPECT_NE(formatResponse({ error, {}, {}, {} }).find(R"("outcome":"unknown")"), std::string::npos);
}
