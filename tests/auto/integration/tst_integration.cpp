#include "fleet.h"
#include "workload.h"

#include "core/session/sessiontoken.h"
#include "transport/peertransport.h"
#include "wire/peer.pb.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <stdexcept>

#include <gtest/gtest.h>
#include <zmq.h>

using namespace Integration;
using std::chrono::milliseconds;

namespace {

using Clock = std::chrono::steady_clock;

// Bounds that the design guarantees: the gap in writes at a change of primary, and the time until a published
// configuration is in force on all hosts.
constexpr milliseconds failoverBound { 8000 };
constexpr milliseconds configurationBound { 17000 };

/// Runs a fleet for each test, and a caller of the customer alpha.
class IntegrationTest : public testing::Test {
protected:
    void startFleet(const FleetOptions& options = {})
    {
        m_fleet = std::make_unique<Fleet>(options);
        if (!m_fleet->start())
            throw std::runtime_error("the fleet did not start, or did not serve writes in time");
        m_alpha = std::make_unique<Caller>(Fleet::keyOf("alpha"));
    }

    std::unique_ptr<Workload> startWorkload(Workload::Options options = {})
    {
        return std::make_unique<Workload>(Fleet::keyOf("alpha"), m_fleet->hosts(), options);
    }

    /// Stops the workload and checks that no acknowledged write was lost, that no write ran twice, and that
    /// no write reported as `not_run` ran. Prints the number of requests by result.
    void expectConsistent(Workload& workload)
    {
        const auto faults
            = workload.check([this](const std::string& key) { return m_fleet->readFinal(key); });
        for (const std::string& fault : faults)
            ADD_FAILURE() << fault;
        std::string counts;
        for (const auto& [name, count] : workload.counts())
            counts.append(name).append("=").append(std::to_string(count)).append(" ");
        std::cout << "requests by result: " << counts << "longest gap: " << workload.longestGap().count()
                  << " ms\n";
        EXPECT_EQ(workload.counts().count("internal"), 0U);
    }

    /// Waits for the owner of the connections; 0 if there is none in time.
    int owner() const
    {
        waitUntil([this] { return m_fleet->owner().has_value(); });
        return m_fleet->owner().value_or(0);
    }

    /// Runs a workload during a fault that `fail` injects into the primary. Checks that another primary takes
    /// over, that the history is consistent, and that the gap in writes is within the bound.
    void expectFailover(const std::function<void(int primary)>& fail)
    {
        const auto workload = startWorkload();
        ASSERT_TRUE(workload->waitForWrites(50));
        const auto primary = m_fleet->primary();
        ASSERT_TRUE(primary);
        fail(*primary);
        ASSERT_TRUE(waitUntil([&] {
            const auto next = m_fleet->primary();
            return next && *next != *primary;
        })) << "no other primary";
        EXPECT_TRUE(workload->waitForWrites(50));
        expectConsistent(*workload);
        EXPECT_LT(workload->longestGap(), failoverBound);
    }

    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<Caller> m_alpha;
};

std::string statement(const std::string& sql, bool isWrite = false)
{
    return Json { { "sql", sql }, { "write", isWrite } }.dump();
}

}

// Guards against a history check that misses writes that were lost, ran twice or ran although they were
// refused, and reads without the session's own writes.
TEST(SessionHistoryTest, reportsInconsistentWritesAndReads)
{
    SessionHistory history;
    history.recordWrite(1, "done");
    history.recordWrite(2, "done");
    history.recordWrite(3, "not_run");
    history.recordWrite(4, "unknown");
    EXPECT_TRUE(history.check("1,2,").empty());
    EXPECT_TRUE(history.check("1,2,4,").empty());
    EXPECT_EQ(history.check("1,").size(), 1U) << "lost";
    EXPECT_EQ(history.check("1,2,2,").size(), 1U) << "doubled";
    EXPECT_EQ(history.check("1,2,3,").size(), 1U) << "refused, but ran";
    EXPECT_EQ(history.check("1,2,4,4,").size(), 1U) << "unknown, and ran twice";
    EXPECT_EQ(history.check("1,2,9,").size(), 1U) << "never written";
    history.recordRead("1,");
    EXPECT_EQ(history.check("1,2,").size(), 1U) << "read without the session's own write";
}

// Guards against reads that miss the session's own write after the session moved to another host, while the
// replicas lag by 200 ms. Also guards against upstreams that receive a caller's key.
TEST_F(IntegrationTest, sessionReadsItsWritesOnEveryHost)
{
    startFleet({ .lagMs = 200 });
    for (int index = 0; index < Fleet::size; ++index)
        m_fleet->controlDatabase(index, { { "watchedText", Fleet::keyOf("alpha") } });
    for (int round = 1; round <= 6; ++round) {
        const Reply written = m_alpha->write(m_fleet->host(round % 3), "PUT k " + std::to_string(round));
        ASSERT_EQ(written.outcome(), "done") << written.text;
        for (int index = 0; index < Fleet::size; ++index) {
            const Reply read = m_alpha->read(m_fleet->host(index), "GET k");
            EXPECT_EQ(valueOf(read), std::to_string(round)) << read.text;
        }
    }
    Caller other("");
    other.route = "public";
    EXPECT_TRUE(other.read(m_fleet->host(1), "GET k", { .maxAgeMs = 10000 }).isDone());
    for (int index = 0; index < Fleet::size; ++index) {
        const Json state = m_fleet->controlDatabase(index);
        EXPECT_EQ(state["watchedRequests"], 0) << "an upstream saw a caller's key";
        EXPECT_EQ(state["mixedStatements"], 0);
        EXPECT_EQ(state["refusedConnections"], 0);
    }
}

// Guards against error codes, statuses and outcomes that differ from the documented ones, and against
// rejected requests whose statement ran nevertheless.
TEST_F(IntegrationTest, rejectsRequestsWithDocumentedErrorCodes)
{
    startFleet({ .openTransactions = 2, .transactionIdleMs = 500 });
    const std::string host = m_fleet->host(0);
    const auto expectCode = [](const Reply& reply, const std::string& code, int status) {
        EXPECT_EQ(reply.code(), code) << reply.text;
        EXPECT_EQ(reply.status, status);
        EXPECT_EQ(reply.outcome(), code == "outcome_unknown" ? "unknown" : "not_run");
    };
    const std::string put = statement("PUT refused 1", true);
    const auto post = [&](Caller& caller, const std::string& path, const std::string& body,
                          std::vector<std::string> headers = {}) {
        return caller.post(host, path, body, {}, std::move(headers));
    };
    Caller withoutKey("");
    Caller wrongKey("wrong-key");
    Caller beta(Fleet::keyOf("beta"));
    Caller small(Fleet::keyOf("small"));
    expectCode(post(*m_alpha, "main/statement", "{"), "invalid_request", 400);
    expectCode(post(*m_alpha, "main/statement", statement(std::string(1100000, 'x'))), "body_too_large", 413);
    expectCode(post(*m_alpha, "main/statement", put, { "X-Large: " + std::string(17000, 'x') }),
        "headers_too_large", 431);
    expectCode(post(withoutKey, "main/statement", put), "key_missing", 401);
    expectCode(post(wrongKey, "main/statement", put), "key_invalid", 401);
    expectCode(post(beta, "main/statement", put), "route_forbidden", 403);
    expectCode(post(*m_alpha, "nowhere/statement", put), "route_unknown", 404);
    expectCode(post(*m_alpha, "main/statement", put, { "Parsleytack-Request-Id: 1000000000-old" }),
        "request_id_expired", 409);
    expectCode(post(*m_alpha, "main/statement", statement("FAIL", true)), "statement_failed", 422);
    expectCode(post(*m_alpha, "main/transaction/none/commit", ""), "transaction_unknown", 404);
    small.write(host, "PUT small 1");
    small.write(host, "PUT small 2");
    Reply limited;
    for (int attempt = 0; attempt < 4 && limited.code().empty(); ++attempt)
        limited = small.write(host, "PUT refused 1");
    expectCode(limited, "rate_limited", 429);

    Caller forger(Fleet::keyOf("alpha"));
    forger.token = "forged";
    expectCode(post(forger, "main/statement", put), "session_token_invalid", 400);
    // A position in a term that no primary has reached. This happens after all databases were lost.
    Session::SessionToken lost { "alpha", {}, { { "orders", { UINT64_MAX / 2, 1 } } } };
    forger.token = Session::encodeToken(lost, Session::deriveTokenKeys(Fleet::fleetSecret, { "k1" }));
    expectCode(forger.read(host, "GET k"), "session_position_lost", 409);

    const std::string path
        = "main/transaction/" + post(*m_alpha, "main/transaction", "").body.value("transaction", "");
    EXPECT_TRUE(post(*m_alpha, "main/transaction", "").isDone());
    expectCode(post(*m_alpha, "main/transaction", ""), "too_many_transactions", 429);
    const Reply changed = post(*m_alpha, path, put);
    EXPECT_TRUE(changed.isDone()) << changed.text;
    ASSERT_TRUE(waitUntil(
        [&] { return m_fleet->controlDatabase(m_fleet->primary().value_or(0))["openTransactions"] == 0; }));
    const Reply late = post(*m_alpha, path + "/commit", "");
    EXPECT_TRUE(late.code() == "transaction_unknown" || late.code() == "transaction_aborted") << late.text;
    EXPECT_EQ(m_fleet->readFinal("refused"), "");
}

// Guards against requests that hang under overload or without a primary instead of being rejected, and
// against a rejection that reports a wrong outcome.
TEST_F(IntegrationTest, rejectsRequestsUnderOverloadAndWithoutPrimary)
{
    startFleet({ .queuedPerCustomer = 1 });
    const std::string host = m_fleet->host(0);
    // Two statements occupy the execution slots of the primary, one is queued, the others find the queue
    // full.
    constexpr int writers = 8;
    std::vector<std::future<std::string>> writes;
    writes.reserve(writers);
    for (int index = 0; index < writers; ++index) {
        writes.push_back(std::async(std::launch::async, [&host] {
            Caller caller(Fleet::keyOf("alpha"));
            return caller.write(host, "SLEEP 1500", { .timeoutMs = 700 }).code();
        }));
    }
    std::map<std::string, int> codes;
    for (auto& write : writes)
        ++codes[write.get()];
    EXPECT_GE(codes["queue_full"], 1);
    EXPECT_GE(codes["deadline_exceeded"], 1);
    EXPECT_GE(codes["outcome_unknown"], 1);
    // Without a majority there is no primary, and no write runs.
    const int primary = m_fleet->primary().value_or(0);
    m_fleet->database(primary).kill();
    m_fleet->database((primary + 1) % Fleet::size).kill();
    Reply refused;
    EXPECT_TRUE(waitUntil([&] {
        refused = m_alpha->write(host, "PUT refused 1", { .timeoutMs = 1000 });
        return refused.code() == "no_primary";
    })) << refused.text;
    EXPECT_EQ(refused.outcome(), "not_run");
}

// Guards against a host that accepts keys although it reaches neither the store nor a majority of the hosts
// and thus cannot learn that a key was withdrawn.
TEST_F(IntegrationTest, isolatedHostRefusesKeys)
{
    startFleet();
    const std::string host = m_fleet->host(0);
    ASSERT_TRUE(waitUntil([this] {
        const Json row = m_fleet->controlStore(Json::object())["rows"].value("roster", Json::object());
        return Json::parse(row.value("value", "{}")).value("names", Json::array()).size() == Fleet::size;
    })) << "the roster does not include all hosts";
    m_fleet->controlStore({ { "outage", "refuse" } });
    m_fleet->hostProcess(1).kill();
    m_fleet->hostProcess(2).kill();
    Reply reply;
    EXPECT_TRUE(waitUntil([&] {
        reply = m_alpha->read(host, "GET k");
        return reply.code() == "isolated";
    })) << reply.text;
    EXPECT_EQ(m_fleet->requestAsOperator(0, "GET", "/readyz").status, 503);
    Caller withoutKey("");
    withoutKey.route = "public";
    EXPECT_TRUE(waitUntil([&] { return withoutKey.read(host, "GET k").isDone(); }));
    const Reply publication = m_fleet->requestAsOperator(
        0, "PUT", "/v1/document?expected=1&nonce=n", Json(m_fleet->document).dump());
    EXPECT_EQ(publication.code(), "store_unavailable") << publication.text;
    // A host that starts now cannot load the configuration.
    m_fleet->endHost(0);
    m_fleet->startHost(0);
    Caller fresh(Fleet::keyOf("alpha"));
    EXPECT_TRUE(waitUntil([&] {
        reply = fresh.read(host, "GET k");
        return reply.code() == "not_ready";
    })) << reply.text;
    m_fleet->controlStore({ { "outage", "none" } });
    EXPECT_TRUE(waitUntil([&] { return fresh.read(host, "GET k").isDone(); }));
}

// Guards against two concurrent publications that both succeed, and against a publication reported as failed
// because the store's response to it was lost.
TEST_F(IntegrationTest, rejectsConflictingPublicationAndConfirmsOneAfterLostResponse)
{
    startFleet();
    EXPECT_EQ(m_fleet->requestAsOperator(0, "GET", "/healthz").status, 200);
    EXPECT_NE(m_fleet->requestAsOperator(0, "GET", "/metrics").text.find("parsleytack_requests_total"),
        std::string::npos);
    const auto publish = [this](int host, int weight, int expected, const std::string& nonce) {
        Json document = m_fleet->document;
        document["customers"][0]["weight"] = weight;
        return m_fleet->requestAsOperator(host, "PUT",
            "/v1/document?expected=" + std::to_string(expected) + "&nonce=" + nonce, document.dump());
    };
    auto first = std::async(std::launch::async, publish, 0, 2, 1, "first");
    const Reply second = publish(1, 3, 1, "second");
    const Reply other = first.get();
    EXPECT_NE(other.isDone(), second.isDone()) << other.text << second.text;
    const Reply& rejected = other.isDone() ? second : other;
    EXPECT_EQ(rejected.code(), "version_conflict");
    EXPECT_EQ(rejected.body.value("version", 0), 2);
    const auto start = Clock::now();
    for (int host = 0; host < Fleet::size; ++host) {
        EXPECT_TRUE(waitUntil([&] {
            return m_fleet->requestAsOperator(host, "GET", "/v1/document").body.value("version", 0) == 2;
        }));
    }
    EXPECT_LT(Clock::now() - start, configurationBound);
    m_fleet->controlStore({ { "loseAnswers", 1 }, { "loseKeyPrefix", "catalog/" } });
    const Reply lost = publish(2, 4, 2, "third");
    EXPECT_TRUE(lost.isDone()) << lost.text;
    EXPECT_EQ(lost.body.value("version", 0), 3);
    Json wrong = m_fleet->document;
    wrong["services"][0]["upstreams"][0] = "nowhere";
    const Reply faulty
        = m_fleet->requestAsOperator(0, "PUT", "/v1/document?expected=3&nonce=x", wrong.dump());
    EXPECT_EQ(faulty.code(), "check_failed");
    EXPECT_NE(faulty.text.find("nowhere"), std::string::npos);
}

// Guards against a late response that is taken for the response to another request, against a lost response
// that is reported as success or failure, and against a request id that runs twice.
TEST_F(IntegrationTest, matchesLateResponsesAndRunsRequestIdOnce)
{
    startFleet();
    const int primary = m_fleet->primary().value_or(0);
    m_fleet->controlLink(primary, { { "holdAnswers", 2 }, { "match", "INCR held" } });
    const auto increment = [this](int host) {
        Caller caller(Fleet::keyOf("alpha"));
        return caller.write(m_fleet->host(host), "INCR held" + std::to_string(host)).body;
    };
    auto first = std::async(std::launch::async, increment, 0);
    auto second = std::async(std::launch::async, increment, 1);
    for (const Json& body : { first.get(), second.get() })
        EXPECT_EQ(body["result"]["result"], 1) << body;

    const Json loss { { "loseAnswers", 1 }, { "match", "INCR" } };
    m_fleet->controlLink(primary, loss);
    const Reply lost = m_alpha->write(m_fleet->host(0), "INCR unknown");
    EXPECT_EQ(lost.code(), "outcome_unknown") << lost.text;
    EXPECT_EQ(m_fleet->readFinal("unknown"), "1");
    m_fleet->controlLink(primary, loss);
    const Caller::Options options { .requestId = makeRequestId("once") };
    for (int host = 0; host < Fleet::size; ++host) {
        const Reply repeated = m_alpha->write(m_fleet->host(host), "INCR once", options);
        EXPECT_TRUE(repeated.isDone() || repeated.code() == "outcome_unknown") << repeated.text;
    }
    EXPECT_EQ(m_fleet->readFinal("once"), "1");
}

// Guards against requests that are interrupted when the host that owns the connections shuts down gracefully.
TEST_F(IntegrationTest, drainInterruptsNoRequest)
{
    startFleet();
    const int draining = owner();
    const auto workload = startWorkload({ .sessions = 8 });
    ASSERT_TRUE(workload->waitForWrites(100));
    m_fleet->hostProcess(draining).signal(SIGTERM);
    EXPECT_EQ(m_fleet->hostProcess(draining).waitForExit(), 0);
    EXPECT_TRUE(workload->waitForWrites(100));
    expectConsistent(*workload);
    EXPECT_EQ(workload->counts()["no_answer"], 0);
    EXPECT_EQ(workload->counts()["outcome_unknown"], 0);
}

// Guards against lost writes, and against a gap in writes above the bound, when the process of the primary is
// killed.
TEST_F(IntegrationTest, failsOverWhenPrimaryIsKilled)
{
    startFleet();
    expectFailover([this](int primary) { m_fleet->database(primary).kill(); });
}

// Guards against writes that a paused primary acknowledges when it resumes after it was replaced.
TEST_F(IntegrationTest, failsOverWhenPrimaryIsPaused)
{
    startFleet();
    expectFailover([this](int primary) {
        m_fleet->database(primary).signal(SIGSTOP);
        std::thread([this, primary] {
            waitUntil([&] { return m_fleet->primary().value_or(primary) != primary; });
            m_fleet->database(primary).signal(SIGCONT);
        }).join();
    });
}

// Guards against lost or repeated writes, and against a gap in writes above the bound, when the primary
// receives requests but its responses do not reach the hosts.
TEST_F(IntegrationTest, failsOverWhenPrimaryResponsesAreLost)
{
    startFleet();
    int previous = -1;
    expectFailover([&](int primary) {
        previous = primary;
        m_fleet->controlLink(primary, { { "cutToClient", true } });
    });
    m_fleet->controlLink(previous, { { "cutToClient", false } });
}

// Guards against writes that are acknowledged although no replica has received them, because the primary is
// partitioned from the replicas.
TEST_F(IntegrationTest, acknowledgesNothingWithoutReplication)
{
    startFleet();
    const auto workload = startWorkload();
    ASSERT_TRUE(workload->waitForWrites(50));
    const int primary = m_fleet->primary().value_or(0);
    m_fleet->controlDatabase(primary, { { "cutOff", true } });
    // The primary keeps responding to the owner. Its entries must not count as acknowledged.
    std::this_thread::sleep_for(milliseconds(2000));
    m_fleet->controlDatabase(primary, { { "cutOff", false } });
    EXPECT_TRUE(workload->waitForWrites(50));
    expectConsistent(*workload);
}

// Guards against requests that hang forever on connections that became unresponsive without being closed.
TEST_F(IntegrationTest, replacesUnresponsiveConnections)
{
    startFleet();
    const auto workload = startWorkload();
    ASSERT_TRUE(workload->waitForWrites(50));
    m_fleet->controlLink(-1, { { "freezeExisting", true } });
    EXPECT_TRUE(workload->waitForWrites(100));
    expectConsistent(*workload);
    EXPECT_LT(workload->longestGap(), failoverBound);
}

// Guards against writes of a transaction that take effect although its host was killed before the commit, and
// against connections and execution slots that the transaction keeps occupied.
TEST_F(IntegrationTest, abortsTransactionWhenItsHostIsKilled)
{
    startFleet({ .transactionIdleMs = 2000 });
    const int killed = owner();
    const int other = (killed + 1) % Fleet::size;
    const Reply begun = m_alpha->post(m_fleet->host(other), "main/transaction", "", {});
    ASSERT_TRUE(begun.isDone()) << begun.text;
    const std::string path = "main/transaction/" + begun.body.value("transaction", "");
    ASSERT_TRUE(m_alpha->post(m_fleet->host(other), path, statement("PUT half 1", true), {}).isDone());
    m_fleet->endHost(killed);
    const Reply commit = m_alpha->post(m_fleet->host(other), path + "/commit", "", {});
    EXPECT_FALSE(commit.isDone()) << commit.text;
    EXPECT_TRUE(waitUntil([&] { return m_alpha->write(m_fleet->host(other), "PUT after 1").isDone(); }));
    EXPECT_EQ(m_alpha->post(m_fleet->host(other), path + "/commit", "", {}).code(), "transaction_unknown");
    EXPECT_EQ(m_fleet->readFinal("half"), "");
    m_fleet->startHost(killed);
    EXPECT_TRUE(m_fleet->waitUntilServing(killed));
}

// Guards against a failover that depends on the store: the store does not respond while the primary is
// replaced.
TEST_F(IntegrationTest, failsOverWithoutStore)
{
    startFleet();
    m_fleet->controlStore({ { "outage", "hang" } });
    expectFailover([this](int primary) { m_fleet->database(primary).kill(); });
    m_fleet->controlStore({ { "outage", "none" } });
}

// Guards against withdrawn keys that remain usable on open connections and in open transactions.
TEST_F(IntegrationTest, rejectsWithdrawnKeyOnOpenConnections)
{
    startFleet();
    std::array<Caller, 3> callers { Caller("alpha-key"), Caller("alpha-key"), Caller("alpha-key") };
    const std::string path = "main/transaction/"
        + callers[0].post(m_fleet->host(0), "main/transaction", "", {}).body.value("transaction", "");
    EXPECT_TRUE(callers[0].post(m_fleet->host(0), path, statement("PUT revoked 1", true), {}).isDone());
    Json document = m_fleet->document;
    document["keys"][0]["state"] = "withdrawn";
    ASSERT_TRUE(m_fleet->publish(document));
    const auto withdrawn = Clock::now();
    for (int index = 0; index < Fleet::size; ++index) {
        EXPECT_TRUE(waitUntil(
            [&] { return callers[index].read(m_fleet->host(index), "GET ready").code() == "key_invalid"; }));
    }
    EXPECT_LT(Clock::now() - withdrawn, configurationBound);
    EXPECT_TRUE(waitUntil([&] {
        return m_fleet->controlDatabase(m_fleet->primary().value_or(0))["openTransactions"] == 0;
    })) << "the transaction of the withdrawn key is still open";
    EXPECT_EQ(m_fleet->readFinal("revoked"), "");
}

// Guards against new work in an availability zone that is out of service, and against writes lost while the
// zone is taken out of service and put back.
TEST_F(IntegrationTest, movesWorkFromZoneTakenOutOfService)
{
    startFleet();
    const auto workload = startWorkload();
    ASSERT_TRUE(workload->waitForWrites(50));
    // The zone of the primary, so that the primary has to be replaced as well.
    const int primary = m_fleet->primary().value_or(0);
    const int inside = primary == 1 ? 1 : 0;
    Json document = m_fleet->document;
    document["zones"][inside]["state"] = "out";
    ASSERT_TRUE(m_fleet->publish(document));
    const auto changed = Clock::now();
    Caller caller(Fleet::keyOf("alpha"));
    EXPECT_TRUE(
        waitUntil([&] { return caller.read(m_fleet->host(inside), "GET ready").code() == "zone_out"; }));
    EXPECT_TRUE(waitUntil([&] { return m_fleet->primary().value_or(primary) != primary; }));
    EXPECT_LT(Clock::now() - changed, configurationBound);
    EXPECT_TRUE(workload->waitForWrites(50));
    ASSERT_TRUE(m_fleet->publish(m_fleet->document));
    EXPECT_TRUE(m_fleet->waitUntilServing(inside));
    EXPECT_TRUE(waitUntil([&] { return caller.read(m_fleet->host(inside), "GET ready").isDone(); }));
    EXPECT_TRUE(workload->waitForWrites(50));
    expectConsistent(*workload);
}

// Guards against processes without the fleet's key that send requests to the hosts' interface for peers.
TEST_F(IntegrationTest, rejectsPeerWithoutFleetKey)
{
    startFleet();
    std::array<char, 41> publicKey {};
    std::array<char, 41> secretKey {};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    const ReservedPort port;
    Transport::PeerTransport stranger(
        { port.address(), "stranger", 1, publicKey.data(), secretKey.data() }, nullptr);
    ASSERT_FALSE(stranger.start());
    std::promise<Transport::ReplyStatus> answer;
    Wire::Envelope message;
    message.mutable_ping();
    stranger.request(m_fleet->peerAddress(0), message, std::chrono::seconds(3),
        [&](Transport::ReplyStatus status, const Wire::Envelope*) { answer.set_value(status); });
    EXPECT_NE(answer.get_future().get(), Transport::ReplyStatus::Answered);
    stranger.stop();
    // Bytes of another protocol must not harm the host.
    fetch("POST", m_fleet->peerAddress(0), "/", std::string(100000, 'x'));
    EXPECT_TRUE(m_alpha->write(m_fleet->host(0), "PUT after 1").isDone());
}
