#include "enginefixture.h"

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

/// An engine that schedules statements, in front of upstreams with two slots.
class ScheduledEngine : public EngineFixture {
protected:
    ScheduledEngine()
        : EngineFixture(EngineSettings { .schedulesStatements = true })
    {
    }

    /// Starts a transaction whose first statement is at the primary, and returns its connection.
    ConnectionId begin(SessionId session)
    {
        send(session, statement(StatementKind::Begin));
        send(session, statement(StatementKind::Write, "a 1"));
        acceptConnections();
        const ConnectionId link = linkTo("p");
        answer(link, ResultCode::Complete, TransactionState::Open);
        take(link);
        return link;
    }
};

}

// Guards against more statements and openings at an upstream than it has slots.
TEST_F(ScheduledEngine, StartsNoMoreThanTheSlots)
{
    for (int count = 0; count < 6; ++count)
        send(open("strict"), statement(StatementKind::Write, "a 1"));
    EXPECT_EQ(m_opening.size(), 2U);
    acceptConnections();
    int sent = 0;
    for (auto& [id, link] : m_links)
        sent += static_cast<int>(link.commands.size());
    EXPECT_EQ(sent, 2);
    EXPECT_TRUE(m_opening.empty());
}

// Guards against a connection that is opened while a waiting statement could use the slot at once.
TEST_F(ScheduledEngine, UsesIdleConnectionBeforeOpeningOne)
{
    setUpstream("p", Directory::Role::Primary);
    const SessionId first = open("strict");
    send(first, statement(StatementKind::Write, "a 1"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    take(link);
    const SessionId second = open("strict");
    const SessionId third = open("strict");
    send(second, statement(StatementKind::Write, "b 2"));
    send(third, statement(StatementKind::Write, "c 3"));
    EXPECT_EQ(m_opening.size(), 1U);
    answer(link);
    EXPECT_EQ(take(link).size(), 1U);
    EXPECT_EQ(m_opening.size(), 1U);
}

// Guards against a transaction that is aborted or moved because a slot was taken.
TEST_F(ScheduledEngine, ResendsStatementOfTransactionOnItsConnection)
{
    const SessionId session = open("strict");
    const ConnectionId link = begin(session);
    answer(link, ResultCode::Busy, TransactionState::Open);
    EXPECT_TRUE(take(link).empty());
    advance(5ms);
    ASSERT_EQ(take(link).size(), 1U);
    answer(link, ResultCode::Complete, TransactionState::Open);
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
    send(session, statement(StatementKind::Commit));
    answer(link, ResultCode::Busy, TransactionState::Open);
    take(link);
    advance(5ms);
    ASSERT_EQ(take(link).size(), 1U);
    answer(link);
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
    EXPECT_EQ(lastReply(session).state, TransactionState::None);
}

// Guards against a transaction whose statement waits for a slot beyond its time limit, and against a write of
// it that remains.
TEST_F(ScheduledEngine, RollsBackTransactionThatGetsNoSlotInTime)
{
    const SessionId session = open("strict");
    const ConnectionId link = begin(session);
    for (int count = 0; count < 200 && replyCount(session) < 3; ++count) {
        if (!take(link).empty() || count == 0)
            answer(link, ResultCode::Busy, TransactionState::Open);
        advance(10ms);
    }
    EXPECT_EQ(lastReply(session).code, ResultCode::Aborted);
    EXPECT_EQ(lastReply(session).state, TransactionState::Failed);
    const std::vector<Command> commands = take(link);
    ASSERT_FALSE(commands.empty());
    EXPECT_EQ(commands.back().kind, CommandKind::Rollback);
}

// Guards against a refusal after as many `Busy` as a request has attempts.
TEST_F(ScheduledEngine, BusyCountsAsNoAttempt)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    for (int count = 0; count < 10; ++count) {
        ASSERT_EQ(take(link).size(), 1U);
        answer(link, ResultCode::Busy);
        advance(20ms);
    }
    answer(link);
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
}

// Guards against slots that stay taken after their statement has ended otherwise than by an answer.
TEST_F(ScheduledEngine, FreesSlotsOfLostConnectionsAndClosedSessions)
{
    for (int round = 0; round < 5; ++round) {
        const SessionId lost = open("strict");
        send(lost, statement(StatementKind::Write, "a 1"));
        acceptConnections();
        m_engine->connectionLost(linkTo("p"), m_now);
        m_links.erase(linkTo("p"));
        const SessionId closed = open("strict");
        send(closed, statement(StatementKind::Begin));
        send(closed, statement(StatementKind::Write, "a 1"));
        acceptConnections();
        m_engine->sessionClosed(closed, m_now);
        answer(linkTo("p"), ResultCode::Complete, TransactionState::Open);
        answer(linkTo("p"));
        advance(30ms);
    }
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    acceptConnections();
    answer(linkTo("p"));
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
}

// Guards against refusals before the expected return of the primary, for which late requests have waited
// long.
TEST_F(ScheduledEngine, KeepsRequestsWhilePrimaryIsExpected)
{
    observePrimary(5);
    m_mayUsePrimaries = false;
    m_engine->setPrimaryExpected("ledger", m_now + 700ms);
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    for (int count = 0; count < 70; ++count)
        advance(10ms);
    EXPECT_EQ(replyCount(session), 1U);
    m_mayUsePrimaries = true;
    m_engine->directoryChanged(m_now);
    acceptConnections();
    answer(linkTo("p"));
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
}

// Guards against a host without the setting that schedules statements.
TEST_F(EngineFixture, SchedulesNothingWithoutTheSetting)
{
    for (int count = 0; count < 6; ++count)
        send(open("strict"), statement(StatementKind::Write, "a 1"));
    EXPECT_EQ(m_engine->schedulingStats().waiting, 0U);
}
