#include "enginefixture.h"

using namespace Proxy;
using namespace std::chrono_literals;

// Guards against a trace that does not show where a statement spent its time: each wait and each upstream is
// a hop with its result, and the hops leave no gap.
TEST_F(EngineFixture, RecordsEachQueueAndUpstreamHop)
{
    m_isTraced = true;
    const SessionId session = open("strict");
    const Model::Time sentAt = m_now;
    send(session, statement(StatementKind::Write, "item"));
    advance(5ms);
    acceptConnections();
    const ConnectionId link = linkTo("p");
    take(link);
    advance(20ms);
    answer(link, ResultCode::Busy, TransactionState::None, 10);
    advance(30ms);
    take(link);
    advance(10ms);
    answer(link, ResultCode::Complete, TransactionState::None, 11);
    ASSERT_EQ(lastReply(session).code, ResultCode::Complete);
    ASSERT_EQ(m_hops.size(), 4U);
    const std::vector<HopKind> kinds { HopKind::Queue, HopKind::Upstream, HopKind::Queue, HopKind::Upstream };
    Model::Time end = sentAt;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        EXPECT_EQ(m_hops[i].kind, kinds[i]) << i;
        EXPECT_EQ(m_hops[i].upstream, kinds[i] == HopKind::Queue ? "" : "p") << i;
        EXPECT_EQ(m_hops[i].startedAt, end) << i;
        end = m_hops[i].endedAt;
    }
    EXPECT_EQ(end, m_now);
    EXPECT_EQ(m_hops[0].endedAt - m_hops[0].startedAt, 5ms);
    EXPECT_EQ(m_hops[1].code, ResultCode::Busy);
    EXPECT_EQ(m_hops[3].code, ResultCode::Complete);
}

// Guards against a trace without the upstream if the statement runs on the connection of its transaction.
TEST_F(EngineFixture, RecordsUpstreamOfTransaction)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Begin));
    send(session, statement(StatementKind::Write, "item"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    take(link);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    take(link);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    EXPECT_TRUE(m_hops.empty());
    m_isTraced = true;
    send(session, statement(StatementKind::Commit));
    take(link);
    answer(link, ResultCode::Complete, TransactionState::None, 11);
    ASSERT_EQ(m_hops.size(), 1U);
    EXPECT_EQ(m_hops[0].kind, HopKind::Upstream);
    EXPECT_EQ(m_hops[0].upstream, "p");
}

// Guards against a trace of a refused statement that does not contain the result.
TEST_F(EngineFixture, EndsTraceOfRefusedStatementWithResult)
{
    m_isTraced = true;
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "item"));
    advance(2s);
    ASSERT_EQ(lastReply(session).code, ResultCode::Busy);
    ASSERT_EQ(m_hops.size(), 1U);
    EXPECT_EQ(m_hops[0].kind, HopKind::Queue);
    EXPECT_EQ(m_hops[0].code, ResultCode::Busy);
}
