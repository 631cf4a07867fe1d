#include "fakeadminhooks.h"
#include "http/connection.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Admin;
using Http::Method;
using Json = nlohmann::json;

namespace {

constexpr std::size_t bodyLimit = 1000;
const std::string secret = "the-secret-of-operators";

/// A server with hooks that record their arguments.
class AdminServerTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_server = std::make_unique<AdminServer>(
            AdminServerSettings { "127.0.0.1", 0, secret, bodyLimit }, m_adminHooks.hooks());
        ASSERT_EQ(m_server->start(), std::nullopt);
        ASSERT_NE(m_server->port(), 0);
    }

    Http::Response send(Method method, const std::string& path, const std::string& body = {},
        const std::string& authorization = "Bearer " + secret)
    {
        Http::Connection connection("127.0.0.1:" + std::to_string(m_server->port()));
        Http::Request request { method, path, body, {} };
        if (!authorization.empty())
            request.headers.push_back("Authorization: " + authorization);
        return connection.send(request);
    }

    void expectError(const Http::Response& response, Model::ErrorCode code)
    {
        const Model::ErrorInfo& info = Model::errorInfo(code);
        EXPECT_EQ(response.code, info.httpStatus) << response.error;
        const Json json = Json::parse(response.body, nullptr, false);
        ASSERT_TRUE(json.is_object()) << response.body;
        EXPECT_EQ(json["code"], info.name);
        EXPECT_EQ(json["outcome"], outcomeName(info.outcome));
        EXPECT_FALSE(json["message"].get<std::string>().empty());
    }

    // Outlives the server, whose threads call it.
    FakeAdminHooks m_adminHooks;
    std::unique_ptr<AdminServer> m_server;
};

const std::string publishPath = "/v1/document?expected=7&nonce=n1";

}

// Guards against access with a missing secret, a wrong scheme, or a secret of which only a prefix matches.
TEST_F(AdminServerTest, RejectsWrongSecret)
{
    expectError(send(Method::Put, publishPath, "{}", ""), Model::ErrorCode::KeyMissing);
    const std::vector<std::string> wrong { "Bearer", "Bearer ", "Bearer wrong", "Basic " + secret,
        "Bearer " + secret + "x", "Bearer " + secret.substr(0, secret.size() - 1), secret,
        "bearer" + secret };
    for (const std::string& authorization : wrong) {
        const auto response = send(Method::Put, publishPath, "{}", authorization);
        EXPECT_EQ(response.code, 401) << authorization;
    }
    for (const char* path : { "/v1/document", "/v1/history", "/v1/status", "/v1/anything" })
        expectError(send(Method::Get, path, {}, "Bearer wrong"), Model::ErrorCode::KeyInvalid);
    for (const char* path : { "/v1/zones/z1/out", "/v1/keys/k/withdrawn" })
        expectError(send(Method::Put, path, {}, "Bearer wrong"), Model::ErrorCode::KeyInvalid);
    for (const char* path : { "/v1/check", "/v1/keys/k?customer=c" })
        expectError(send(Method::Post, path, {}, "Bearer wrong"), Model::ErrorCode::KeyInvalid);
    EXPECT_EQ(m_adminHooks.publishCount, 0);
    EXPECT_EQ(m_adminHooks.called, "");
}

// Guards against a document that the HTTP library truncates at the limit and that is then published.
TEST_F(AdminServerTest, RejectsOversizedBody)
{
    EXPECT_EQ(send(Method::Put, publishPath, std::string(bodyLimit, 'x')).code, 200);
    EXPECT_EQ(m_adminHooks.published.document.size(), bodyLimit);
    for (const std::size_t size : { bodyLimit + 1, bodyLimit * 1000 })
        expectError(send(Method::Put, publishPath, std::string(size, 'x')), Model::ErrorCode::BodyTooLarge);
    EXPECT_EQ(m_adminHooks.publishCount, 1);
}

// Guards against a document, version, nonce or repeat flag that reaches the hook changed, for example because
// the document is decoded as a form.
TEST_F(AdminServerTest, ForwardsPublishRequestUnchanged)
{
    const std::string document = "{\"a\":\"\xc3\xa9 %41+ \\u0000\"}";
    const auto response = send(Method::Put, publishPath + "&repeat=true", document);
    EXPECT_EQ(response.code, 200);
    EXPECT_EQ(Json::parse(response.body), Json::parse(R"({"outcome":"done","version":8,"hash":"h8"})"));
    EXPECT_EQ(m_adminHooks.published.document, document);
    EXPECT_EQ(m_adminHooks.published.expectedVersion, 7U);
    EXPECT_EQ(m_adminHooks.published.nonce, "n1");
    EXPECT_TRUE(m_adminHooks.published.isRepeat);
    send(Method::Put, publishPath, document);
    EXPECT_FALSE(m_adminHooks.published.isRepeat);
}

// Guards against a publication without a valid expected version or nonce: conflicts and repeated requests
// could not be detected.
TEST_F(AdminServerTest, RejectsMalformedParameters)
{
    for (const char* query : { "", "?nonce=n", "?expected=7", "?expected=&nonce=n", "?expected=-1&nonce=n",
             "?expected=7x&nonce=n", "?expected=7&nonce=", "?expected=7&nonce=n&repeat=yes",
             "?expected=99999999999999999999&nonce=n" })
        expectError(
            send(Method::Put, std::string("/v1/document") + query, "{}"), Model::ErrorCode::InvalidRequest);
    expectError(send(Method::Put, "/v1/document?expected=1&nonce=" + std::string(65, 'n'), "{}"),
        Model::ErrorCode::InvalidRequest);
    expectError(send(Method::Post, "/v1/keys/k"), Model::ErrorCode::InvalidRequest);
    EXPECT_EQ(m_adminHooks.publishCount, 0);
}

// Guards against an error of a hook that reaches the operator as another error, or as success.
TEST_F(AdminServerTest, ReturnsErrorOfHook)
{
    for (const Model::ErrorInfo& info : Model::errorTable()) {
        m_adminHooks.failWith(info.code);
        expectError(send(Method::Put, publishPath, "{}"), info.code);
        expectError(send(Method::Post, "/v1/check", "{}"), info.code);
        expectError(send(Method::Put, "/v1/zones/z1/out"), info.code);
        expectError(send(Method::Put, "/v1/keys/k/withdrawn"), info.code);
    }
}

// Guards against error responses without the faults of the document or the conflicting version, and against
// names with invalid UTF-8 that make the response fail.
TEST_F(AdminServerTest, ReportsFaultsAndConflictingVersion)
{
    m_adminHooks.failWith(Model::ErrorCode::CheckFailed);
    m_adminHooks.error->faults = { { Catalog::ObjectType::Key, "k\xff", "hash", "is wrong" } };
    const Json faults = Json::parse(send(Method::Post, "/v1/check", "{}").body)["faults"];
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0]["type"], "key");
    EXPECT_EQ(faults[0]["field"], "hash");
    m_adminHooks.failWith(Model::ErrorCode::VersionConflict);
    m_adminHooks.error->version = 9;
    EXPECT_EQ(Json::parse(send(Method::Put, publishPath, "{}").body)["version"], 9);
}

// Guards against a request that reaches the wrong hook, or the hook with the wrong zone, key or customer.
TEST_F(AdminServerTest, DispatchesRequestToMatchingHook)
{
    EXPECT_EQ(Json::parse(send(Method::Get, "/v1/document").body)["document"],
        Json::parse(R"({"zones":[{"name":"z1"}]})"));
    EXPECT_EQ(Json::parse(send(Method::Get, "/v1/history").body)["versions"][0]["objects"][0], "zone/a");
    EXPECT_EQ(Json::parse(send(Method::Get, "/v1/history").body)["versions"][0]["fromVersion"], 5);
    EXPECT_EQ(Json::parse(send(Method::Get, "/v1/status").body)["services"][0]["primary"], "db-a");
    EXPECT_EQ(Json::parse(send(Method::Post, "/v1/check", "{}").body)["version"], 7);
    send(Method::Put, "/v1/zones/z1/out");
    EXPECT_EQ(m_adminHooks.called, "z1 out");
    send(Method::Put, "/v1/zones/z2/in");
    EXPECT_EQ(m_adminHooks.called, "z2 in");
    send(Method::Put, "/v1/keys/k1/withdrawn");
    EXPECT_EQ(m_adminHooks.called, "k1");
    EXPECT_EQ(Json::parse(send(Method::Post, "/v1/keys/k2?customer=acme").body)["key"], "the-key");
    EXPECT_EQ(m_adminHooks.called, "acme k2");
    for (const char* path : { "/", "/v1/", "/v2/status", "/v1/zones/z1", "/v1/zones//out",
             "/v1/zones/z1/away", "/v1/zones/z1/out/x", "/v1/keys/", "/v1/keys/k/x" })
        expectError(send(Method::Put, path), Model::ErrorCode::RouteUnknown);
    expectError(send(Method::Post, "/v1/document", "{}"), Model::ErrorCode::RouteUnknown);
    expectError(send(Method::Post, "/metrics"), Model::ErrorCode::RouteUnknown);
}

// Guards against probes that require the secret, or that succeed on a host that is unhealthy or not ready.
TEST_F(AdminServerTest, ServesProbesWithoutSecret)
{
    EXPECT_EQ(send(Method::Get, "/healthz", {}, "").code, 200);
    EXPECT_EQ(send(Method::Get, "/readyz", {}, "").code, 200);
    EXPECT_EQ(send(Method::Get, "/metrics", {}, "").body, "requests_total 1\n");
    m_adminHooks.isHealthy = false;
    EXPECT_EQ(send(Method::Get, "/healthz", {}, "").code, 503);
    m_adminHooks.failWith(Model::ErrorCode::ZoneOut);
    const auto response = send(Method::Get, "/readyz", {}, "");
    EXPECT_EQ(response.code, 503);
    EXPECT_EQ(Json::parse(response.body)["code"], "zone_out");
}

// Guards against a second server that binds the same port and receives some of the requests.
TEST_F(AdminServerTest, StartFailsIfAddressIsInUse)
{
    AdminServer second({ "127.0.0.1", m_server->port(), secret }, {});
    EXPECT_NE(second.start(), std::nullopt);
}
