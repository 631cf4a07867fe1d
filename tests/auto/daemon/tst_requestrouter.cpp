#include "core/catalog/parsedocument.h"
#include "core/catalog/version.h"
#include "core/session/sessiontoken.h"
#include "daemon/clock.h"
#include "daemon/requestrouter.h"

#include <gtest/gtest.h>

using namespace Daemon;
using Gateway::CallerRequest;
using Gateway::CallerResponse;
using Gateway::Operation;
using Model::ErrorCode;

namespace {

const std::string fleetSecret(32, 'f');

/// A router with a fake owner, which gives the answers in `m_answers`, a closed route and an open route.
class RequestRouterTest : public testing::Test {
protected:
    RequestRouterTest()
        : m_catalog(fleetSecret)
        , m_router(m_catalog, m_metrics, hooks())
    {
        const std::string document = R"({"customers":[{"name":"acme","rate":10,"burst":5,"weight":1},
            {"name":"beta","rate":10,"burst":5,"weight":1}],
            "keys":[{"name":"acme-1","customer":"acme","hash":")"
            + m_catalog.keyHasher().hash("acme-key") + R"(","state":"active"},
            {"name":"beta-1","customer":"beta","hash":")"
            + m_catalog.keyHasher().hash("beta-key") + R"(","state":"active"},
            {"name":"acme-0","customer":"acme","hash":")"
            + m_catalog.keyHasher().hash("old-key") + R"(","state":"withdrawn"}],
            "zones":[{"name":"z","region":"r","state":"in"}],
            "upstreams":[{"name":"u","address":"127.0.0.1:1","zone":"z","slots":1,"connections":5,"state":"active"}],
            "services":[{"name":"register","upstreams":["u"]}],
            "routes":[{"name":"closed","service":"register","customers":["acme"]},
            {"name":"open","service":"register","open":true}],"limits":{}})";
        const auto parsed = Catalog::parseDocument(document);
        EXPECT_TRUE(parsed) << (parsed ? "" : Catalog::faultText(parsed.error().front()));
        Catalog::Version version;
        version.number = 1;
        version.document = *parsed;
        m_catalog.adopt(Catalog::Snapshot::create(version));
    }

    RouterHooks hooks()
    {
        RouterHooks result;
        result.refusalReason = [] { return std::nullopt; };
        result.keyedRefusalReason = [] { return std::nullopt; };
        result.admit = [this](const std::string& customer, Model::Time) {
            m_admitted.push_back(customer);
            return Model::Result<void>();
        };
        result.ownerOf = [](const std::string&) { return std::string("owner"); };
        result.transactionHostOf = [](const std::string&) { return std::string(); };
        result.run = [this](const std::string&, const GroupRequest& request) {
            m_runs.push_back(request);
            if (m_answers.empty())
                return GroupAnswer { std::nullopt, "{}", { 1, 5 }, {}, {} };
            GroupAnswer answer = m_answers.front();
            m_answers.erase(m_answers.begin());
            return answer;
        };
        return result;
    }

    static CallerRequest write(const std::string& key)
    {
        CallerRequest request;
        request.route = "closed";
        request.key = key;
        request.sql = "PUT k v";
        request.isWrite = true;
        return request;
    }

    std::error_code codeOf(const CallerRequest& request)
    {
        const CallerResponse answer = m_router.serve(request);
        return answer.error ? answer.error->code : std::error_code();
    }

    CatalogHolder m_catalog;
    Metrics::Registry m_metrics;
    std::vector<std::string> m_admitted;
    std::vector<GroupRequest> m_runs;
    std::vector<GroupAnswer> m_answers;
    RequestRouter m_router;
};

}

// Guards against a request that runs without a valid key, or for a customer other than that of its key.
TEST_F(RequestRouterTest, RunsRequestOnlyForCustomerOfKey)
{
    EXPECT_EQ(codeOf(write("")), ErrorCode::KeyMissing);
    EXPECT_EQ(codeOf(write("wrong")), ErrorCode::KeyInvalid);
    EXPECT_EQ(codeOf(write("old-key")), ErrorCode::KeyInvalid);
    EXPECT_EQ(codeOf(write("beta-key")), ErrorCode::RouteForbidden);
    EXPECT_TRUE(m_runs.empty());
    EXPECT_FALSE(codeOf(write("acme-key")));
    ASSERT_EQ(m_runs.size(), 1U);
    EXPECT_EQ(m_runs[0].customer, "acme");
    EXPECT_EQ(m_admitted, std::vector<std::string> { "acme" });
}

// Guards against a session token without the position of the session's last write, whose next read then
// misses the write, and against a token that is accepted from another customer.
TEST_F(RequestRouterTest, TokenCarriesWritePositionOnlyForItsCustomer)
{
    CallerRequest read;
    read.route = "closed";
    read.key = "acme-key";
    read.sql = "GET k";
    read.sessionToken = m_router.serve(write("acme-key")).sessionToken;
    EXPECT_FALSE(codeOf(read));
    EXPECT_EQ(m_runs.back().sessionPosition, (Model::LogPosition { 1, 5 }));
    read.route = "open";
    read.key = "beta-key";
    EXPECT_EQ(codeOf(read), ErrorCode::SessionTokenInvalid);
}

// Guards against a write that is taken for a repetition of another customer's write, because both customers
// chose the same idempotency key.
TEST_F(RequestRouterTest, PrefixesRequestIdWithCustomer)
{
    CallerRequest request = write("acme-key");
    request.requestId = std::to_string(wallNow().count()) + "-a";
    EXPECT_FALSE(codeOf(request));
    EXPECT_EQ(m_runs.back().requestId, "acme/" + request.requestId);
}

// Guards against a write that runs twice because it was retried although its outcome was unknown.
TEST_F(RequestRouterTest, RetriesOnlyRequestsNotRunOrIdempotent)
{
    m_answers = { errorAnswer(ErrorCode::NotOwner), errorAnswer(ErrorCode::OwnerUnreachable) };
    EXPECT_FALSE(codeOf(write("acme-key")));
    EXPECT_EQ(m_runs.size(), 3U);
    m_runs.clear();
    m_answers = { errorAnswer(ErrorCode::OutcomeUnknown) };
    EXPECT_EQ(codeOf(write("acme-key")), ErrorCode::OutcomeUnknown);
    EXPECT_EQ(m_runs.size(), 1U);
    m_runs.clear();
    m_answers = { errorAnswer(ErrorCode::OutcomeUnknown) };
    CallerRequest request = write("acme-key");
    request.requestId = std::to_string(wallNow().count()) + "-b";
    EXPECT_FALSE(codeOf(request));
    EXPECT_EQ(m_runs.size(), 2U);
}

// Guards against retries that multiply an overload: the budget allows 10 retries plus a tenth of the
// requests.
TEST_F(RequestRouterTest, LimitsRetriesToBudget)
{
    CallerRequest request = write("acme-key");
    request.timeout = std::chrono::milliseconds(200);
    for (int i = 0; i < 20; ++i) {
        m_answers.assign(50, errorAnswer(ErrorCode::OwnerUnreachable));
        static_cast<void>(m_router.serve(request));
    }
    EXPECT_LE(m_runs.size(), 20U + 10U + 2U);
}

// Guards against a statement that runs outside its transaction, on another host or in a new process, after
// the process that opened the transaction has ended.
TEST_F(RequestRouterTest, RejectsTransactionOfEndedProcess)
{
    CallerRequest request = write("acme-key");
    request.operation = Operation::TransactionStatement;
    request.transactionId = "host~1~abc";
    EXPECT_EQ(codeOf(request), ErrorCode::TransactionUnknown);
    EXPECT_TRUE(m_runs.empty());
}
