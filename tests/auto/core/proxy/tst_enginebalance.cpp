#include "enginefixture.h"

#include <algorithm>

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

/// An engine that balances reads; its host has idle connections to all upstreams.
class EngineBalance : public EngineFixture {
protected:
    EngineBalance()
    {
        createEngine({ .balancesUpstreams = true });
        m_engine->setHosts(1, 0);
    }

    /// Runs a read of a new session, in which `q` answers with `code`. Returns how many statements q got.
    int read(const std::string& database, ResultCode code = ResultCode::Complete)
    {
        if (m_reads++ % 20 == 0)
            observePrimary(m_positions["p"]);
        send(open(database, "key-bolt"), statement(StatementKind::Read, "item"));
        const int count = serve(code);
        EXPECT_EQ(lastReply(m_replies.rbegin()->first).code, ResultCode::Complete);
        advance(10ms);
        return count;
    }

    /// Answers what the upstreams receive, with `code` in `q`. Returns how many statements q got.
    int serve(ResultCode code = ResultCode::Complete)
    {
        int count = 0;
        for (bool isServed = true; isServed;) {
            acceptConnections();
            isServed = false;
            for (const auto& [id, link] : std::map(m_links)) {
                for (const Command& command : take(id)) {
                    const bool isOnQ = link.upstream == "q" && command.kind == CommandKind::Statement;
                    count += isOnQ ? 1 : 0;
                    m_now += m_executionTimes[link.upstream];
                    answer(id, isOnQ ? code : ResultCode::Complete, TransactionState::None,
                        m_positions[link.upstream]);
                    isServed = true;
                }
            }
        }
        return count;
    }

    /// Runs reads for the given time, and returns how many statements `q` got.
    int readFor(Model::Duration duration, ResultCode code = ResultCode::Complete)
    {
        int count = 0;
        for (const Model::Time end = m_now + duration; m_now < end;)
            count += read("bounded", code);
        return count;
    }

    int decisions(DecisionKind kind) const
    {
        return static_cast<int>(std::ranges::count(m_decisions, kind, &Decision::kind));
    }

    int m_reads = 0;
    std::map<std::string, Model::Duration> m_executionTimes;
    /// Ends of the upstreams' logs.
    std::map<std::string, std::uint64_t> m_positions { { "p", 1 }, { "q", 1 }, { "r", 1 } };
};

}

// Guards against an upstream that keeps its reads while it fails them, and that is never tried again.
TEST_F(EngineBalance, SetsFailingUpstreamAsideAndTakesItBack)
{
    EXPECT_GE(readFor(4s), 100);
    readFor(1s, ResultCode::Failed);
    EXPECT_EQ(decisions(DecisionKind::UpstreamSetAside), 1);
    const int probes = readFor(5s, ResultCode::Failed);
    EXPECT_GE(probes, 4);
    EXPECT_LE(probes, 6);
    readFor(4s);
    EXPECT_EQ(decisions(DecisionKind::UpstreamTakenBack), 1);
    EXPECT_GE(readFor(4s), 100);
}

// Guards against reads that the primary runs only because this host has not heard from it for a while; and
// against messages to the primaries of services that are not in use.
TEST_F(EngineBalance, ObservesPrimaryBeforeItsPositionIsTooOld)
{
    observePrimary(1);
    send(open("bounded"), statement(StatementKind::Read, "item"));
    acceptConnections();
    m_links.at(linkTo("p")).commands.clear();
    advance(300ms);
    EXPECT_TRUE(take(linkTo("p")).empty());
    advance(300ms);
    auto commands = take(linkTo("p"));
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, CommandKind::Begin);
    answer(linkTo("p"), ResultCode::Complete, TransactionState::Open, 5);
    commands = take(linkTo("p"));
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, CommandKind::Rollback);
    answer(linkTo("p"), ResultCode::Complete, TransactionState::None, 5);
    EXPECT_EQ(m_engine->router().freshness("ledger")->lastObserved(), m_now);
    advance(2s);
    EXPECT_TRUE(take(linkTo("p")).empty());
}

// Guards against an observation that counts although the upstream was fenced after the message was sent.
TEST_F(EngineBalance, FencedPrimaryConfirmsNoPosition)
{
    observePrimary(1);
    const auto observed = m_engine->router().freshness("ledger")->lastObserved();
    send(open("bounded"), statement(StatementKind::Read, "item"));
    acceptConnections();
    take(linkTo("p"));
    advance(600ms);
    ASSERT_EQ(take(linkTo("p")).size(), 1U);
    m_view.restrictPrimary("ledger", {});
    answer(linkTo("p"), ResultCode::Complete, TransactionState::Open, 5);
    EXPECT_EQ(m_engine->router().freshness("ledger")->lastObserved(), observed);
}

// Guards against statements above the limit of a cold upstream: those of a transaction wait, and a single one
// is not sent. Without the figure nothing is limited.
TEST_F(EngineBalance, ColdPrimaryGetsNoStatementsAboveItsLimit)
{
    for (const double limit : { 0.0, 2.0 }) {
        createEngine();
        configure([limit](auto& configuration) {
            configuration.services.at("ledger").coldRequestsPerSecond = limit;
        });
        m_engine->setHosts(1, 0);
        Directory::Upstream cold = *m_view.findUpstream("p");
        cold.coldFor = 10s;
        ++cold.revision;
        m_view.setUpstream(cold);
        m_engine->directoryChanged(m_now);
        const SessionId session = open("strict");
        send(session, statement(StatementKind::Begin));
        int sent = 0;
        for (int i = 0; i < 4; ++i) {
            send(session, statement(StatementKind::Write, "a 1"));
            acceptConnections();
            for (const Command& command : take(linkTo("p"))) {
                sent += command.kind == CommandKind::Statement ? 1 : 0;
                answer(linkTo("p"), ResultCode::Complete, TransactionState::Open, 1);
            }
            for (const Command& command : take(linkTo("p"))) {
                sent += command.kind == CommandKind::Statement ? 1 : 0;
                answer(linkTo("p"), ResultCode::Complete, TransactionState::Open, 1);
            }
        }
        EXPECT_EQ(sent, limit == 0 ? 4 : 2);
        send(open("strict"), statement(StatementKind::Write, "b 1"));
        acceptConnections();
        const auto commands = take(linkTo("p"));
        EXPECT_EQ(commands.empty(), limit != 0);
        m_now += 1s;
        m_engine->tick(m_now);
        EXPECT_EQ(take(linkTo("p")).size(), limit == 0 ? 0U : 1U);
    }
}

// Guards against reads that meet replicas which lack the session's last commit: they avoid a replica that was
// far behind, and use one that was up to date.
TEST_F(EngineBalance, AvoidsReplicaThatIsBehind)
{
    EXPECT_GE(readFor(4s), 100);
    m_positions = { { "p", 20 }, { "q", 5 }, { "r", 20 } };
    observePrimary(20);
    readFor(1s);
    int onQ = 0;
    for (std::uint64_t commit = 21; commit < 41; ++commit) {
        m_positions["p"] = commit;
        m_positions["r"] = commit;
        const SessionId session = open("own", "key-bolt");
        send(session, statement(StatementKind::Write, "a 1"));
        serve();
        m_now += 5ms;
        send(session, statement(StatementKind::Read, "item"));
        onQ += serve();
        EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
    }
    EXPECT_EQ(onQ, 0);
    // A replica is tried again although nothing was heard from it.
    m_positions["q"] = 40;
    readFor(3s);
    EXPECT_GE(readFor(1s), 20);
}

// Guards against reads that leave the zone, or return to it, without a trace in the log.
TEST_F(EngineBalance, ReportsOnceWhenReadsLeaveZoneAndReturn)
{
    Directory::Upstream own = *m_view.findUpstream("q");
    own.zone = "north";
    m_view.setUpstream(own);
    m_engine->directoryChanged(m_now);
    m_executionTimes = { { "q", 5ms }, { "r", 5ms } };
    readFor(4s);
    EXPECT_EQ(decisions(DecisionKind::ZoneLeft), 0);
    m_executionTimes["q"] = 100ms;
    readFor(8s);
    EXPECT_EQ(decisions(DecisionKind::ZoneLeft), 1);
    const auto left = std::ranges::find(m_decisions, DecisionKind::ZoneLeft, &Decision::kind);
    EXPECT_TRUE(left->inputs.starts_with("service=ledger hereMs=")) << left->inputs;
    m_executionTimes["q"] = 5ms;
    readFor(15s);
    EXPECT_EQ(decisions(DecisionKind::ZoneLeft), 1);
    EXPECT_EQ(decisions(DecisionKind::ZoneReturned), 1);
}
