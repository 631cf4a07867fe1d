#include "enginefixture.h"

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

class EngineFailures : public EngineFixture {
protected:
    /// A session of the database with a statement that runs on the connection returned.
    ConnectionId run(SessionId session, StatementKind kind)
    {
        send(session, statement(kind, "a 1"));
        acceptConnections();
        const ConnectionId link = linkTo("p");
        take(link);
        return link;
    }
};

}

// Guards against a promise that a write did not run although it may have, and against running it twice.
TEST_F(EngineFailures, ReportsInDoubtForWriteWithLostReply)
{
    const SessionId session = open("strict");
    const ConnectionId link = run(session, StatementKind::Write);
    m_engine->connectionLost(link, m_now);
    EXPECT_EQ(lastReply(session).code, ResultCode::InDoubt);
    acceptConnections();
    for (const auto& [id, other] : m_links)
        EXPECT_TRUE(other.commands.empty());
}

// Guards against a doubt where nothing was sent.
TEST_F(EngineFailures, RetriesWriteThatWasNotSent)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    const ConnectionId opening = m_opening.front();
    m_engine->connectionRefused(opening, ResultCode::ConnectionLimit, m_now);
    m_opening.clear();
    EXPECT_EQ(replyCount(session), 1U);
    advance(100ms);
    acceptConnections();
    EXPECT_FALSE(take(linkTo("p")).empty());
}

// Guards against a read that fails with its upstream although another one could run it.
TEST_F(EngineFailures, RetriesReadWithLostReplyOnAnotherUpstream)
{
    observePrimary(5);
    const SessionId session = open("bounded", "key-bolt");
    send(session, statement(StatementKind::Read, "item"));
    acceptConnections();
    const std::string first = linkTo("q") != 0 ? "q" : "r";
    take(linkTo(first));
    m_engine->connectionLost(linkTo(first), m_now);
    m_links.erase(linkTo(first));
    acceptConnections();
    bool isRunning = false;
    for (auto& [id, link] : m_links)
        isRunning = isRunning || !link.commands.empty();
    EXPECT_TRUE(isRunning);
    EXPECT_EQ(replyCount(session), 1U);
}

// Guards against a commit that is reported as rolled back although it may have happened.
TEST_F(EngineFailures, ReportsInDoubtForLostCommitOfWrite)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Begin));
    const ConnectionId link = run(session, StatementKind::Write);
    answer(link, ResultCode::Complete, TransactionState::Open);
    answer(link, ResultCode::Complete, TransactionState::Open);
    send(session, statement(StatementKind::Commit));
    m_engine->connectionLost(link, m_now);
    EXPECT_EQ(lastReply(session).code, ResultCode::InDoubt);
    EXPECT_EQ(lastReply(session).state, TransactionState::None);
}

// Guards against a doubt about a transaction that cannot have had an effect.
TEST_F(EngineFailures, ReportsAbortedForLostCommitOfReads)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Begin));
    const ConnectionId link = run(session, StatementKind::Read);
    answer(link, ResultCode::Complete, TransactionState::Open);
    answer(link, ResultCode::Complete, TransactionState::Open);
    send(session, statement(StatementKind::Commit));
    m_engine->connectionLost(link, m_now);
    EXPECT_EQ(lastReply(session).code, ResultCode::Aborted);
}

// Guards against a transaction that goes on after the connection with its first part is gone.
TEST_F(EngineFailures, AbortsTransactionOnLostConnection)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Begin));
    const ConnectionId link = run(session, StatementKind::Write);
    answer(link, ResultCode::Complete, TransactionState::Open);
    answer(link, ResultCode::Complete, TransactionState::Open);
    m_engine->connectionLost(link, m_now);
    send(session, statement(StatementKind::Write, "b 2"));
    EXPECT_EQ(lastReply(session).code, ResultCode::Aborted);
    EXPECT_EQ(lastReply(session).state, TransactionState::Failed);
    send(session, statement(StatementKind::Write, "b 2"));
    EXPECT_EQ(lastReply(session).code, ResultCode::Malformed);
    send(session, statement(StatementKind::Commit));
    EXPECT_EQ(lastReply(session).code, ResultCode::Aborted);
    EXPECT_EQ(lastReply(session).state, TransactionState::None);
}

// Guards against a caller that waits for an upstream that never answers.
TEST_F(EngineFailures, EndsWriteOnUnresponsiveUpstreamAtTimeLimit)
{
    const SessionId session = open("strict");
    run(session, StatementKind::Write);
    advance(700ms);
    EXPECT_EQ(replyCount(session), 1U);
    advance(200ms);
    EXPECT_EQ(lastReply(session).code, ResultCode::InDoubt);
}

// Guards against a read whose answer was lost and that waits for its time limit (incident inc-3845).
TEST_F(EngineFailures, AbandonsReadWhenLaterStatementsAreAnswered)
{
    const SessionId waiting = open("strict");
    const ConnectionId link = run(waiting, StatementKind::Read);
    answer(link, ResultCode::Complete, TransactionState::Open, 4);
    take(link);
    advance(290ms);
    const SessionId other = open("strict", "key-bolt");
    const ConnectionId second = run(other, StatementKind::Write);
    advance(20ms);
    EXPECT_FALSE(m_links.at(link).isClosed);
    answer(second, ResultCode::Complete, TransactionState::None, 5);
    advance(20ms);
    EXPECT_TRUE(m_links.at(link).isClosed);
    acceptConnections();
    EXPECT_EQ(replyCount(waiting), 1U);
}

// Guards against a write that is abandoned: it may have run.
TEST_F(EngineFailures, KeepsWaitingForWriteUntilTimeLimit)
{
    const SessionId waiting = open("strict");
    const ConnectionId link = run(waiting, StatementKind::Write);
    advance(290ms);
    const ConnectionId second = run(open("strict", "key-bolt"), StatementKind::Write);
    answer(second, ResultCode::Complete, TransactionState::None, 5);
    advance(100ms);
    EXPECT_FALSE(m_links.at(link).isClosed);
}

// Guards against a request that is held although nobody can run it: its caller could come back instead.
TEST_F(EngineFailures, RefusesRequestSoonWithoutPrimary)
{
    setUpstream("p", Directory::Role::Replica);
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    acceptConnections();
    for (const std::string upstream : { "p", "q", "r" }) {
        if (linkTo(upstream) != 0 && !take(linkTo(upstream)).empty())
            answer(linkTo(upstream), ResultCode::ReadOnly);
        acceptConnections();
    }
    advance(45ms);
    EXPECT_EQ(lastReply(session).code, ResultCode::Busy);
}

// Guards against a refusal while the new primary is about to lead.
TEST_F(EngineFailures, QueuesRequestForExpectedPrimary)
{
    setUpstream("p", Directory::Role::Replica);
    m_engine->setPrimaryExpected("ledger", m_now + 500ms);
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    m_opening.clear();
    advance(300ms);
    EXPECT_EQ(replyCount(session), 1U);
    advance(600ms);
    EXPECT_EQ(lastReply(session).code, ResultCode::Busy);
}

// Guards against a host that cannot follow a change of the primary while the store is away: upstreams that
// do not lead refuse a write unrun, so they can be asked.
TEST_F(EngineFailures, FindsNewPrimaryWithoutDirectory)
{
    const SessionId session = open("strict");
    const ConnectionId link = run(session, StatementKind::Write);
    answer(link, ResultCode::ReadOnly);
    acceptConnections();
    std::string asked;
    for (const std::string upstream : { "q", "r" }) {
        if (linkTo(upstream) != 0 && !take(linkTo(upstream)).empty())
            asked = upstream;
    }
    ASSERT_FALSE(asked.empty());
    answer(linkTo(asked), ResultCode::Complete, TransactionState::None, 9);
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
    send(session, statement(StatementKind::Write, "b 2"));
    EXPECT_FALSE(take(linkTo(asked)).empty());
}

// Guards against transactions that rest for ever on a scarce connection.
TEST_F(EngineFailures, RollsBackIdleTransaction)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Begin));
    const ConnectionId link = run(session, StatementKind::Write);
    answer(link, ResultCode::Complete, TransactionState::Open);
    answer(link, ResultCode::Complete, TransactionState::Open);
    take(link);
    advance(3500ms);
    EXPECT_EQ(take(link).at(0).kind, CommandKind::Rollback);
    send(session, statement(StatementKind::Commit));
    EXPECT_EQ(lastReply(session).code, ResultCode::Aborted);
}

// Guards against a shutdown that waits for callers that rest inside transactions.
TEST_F(EngineFailures, ClosesIdleSessionsAndTransactionsOnShutdown)
{
    const SessionId idle = open("strict");
    const SessionId resting = open("strict");
    send(resting, statement(StatementKind::Begin));
    const SessionId running = open("strict");
    run(running, StatementKind::Write);
    m_engine->closeIdleSessions();
    EXPECT_TRUE(m_closedSessions.contains(idle));
    EXPECT_FALSE(m_closedSessions.contains(resting));
    m_engine->endIdleTransactions(m_now);
    EXPECT_TRUE(m_closedSessions.contains(resting));
    EXPECT_FALSE(m_closedSessions.contains(running));
}

// Guards against answers that nobody asked for being taken for the next one's.
TEST_F(EngineFailures, ClosesConnectionOnUnexpectedReply)
{
    observePrimary(3);
    const ConnectionId link = linkTo("p");
    answer(link);
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    EXPECT_TRUE(take(link).empty());
}

// Guards against work for an upstream that leaves.
TEST_F(EngineFailures, SendsNoNewWorkToDrainingUpstream)
{
    observePrimary(3);
    setUpstream("q", Directory::Role::Replica, Directory::Availability::Draining);
    for (int i = 0; i < 6; ++i)
        send(open("bounded"), statement(StatementKind::Read, "item"));
    acceptConnections();
    EXPECT_EQ(linkTo("q"), 0U);
}

// Guards against an overload that feeds on itself: a busy upstream that gets more connections has no slots
// left for statements (quiet-1 of asahi-bindery).
TEST_F(EngineFailures, OpensNoMoreConnectionsToBusyUpstream)
{
    const SessionId first = open("strict");
    const SessionId second = open("strict");
    configure([](auto& configuration) {
        configuration.customers.emplace("cove", Directory::Customer { "cove", 100, 100 });
        configuration.customerByKey.emplace("key-cove", "cove");
    });
    const SessionId other = open("strict", "key-bolt");
    const SessionId third = open("strict", "key-cove");
    send(first, statement(StatementKind::Write, "item"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    take(link);
    answer(link, ResultCode::Busy, TransactionState::None, 10);
    advance(20ms);
    ASSERT_FALSE(take(link).empty());
    send(second, statement(StatementKind::Write, "item"));
    EXPECT_TRUE(m_opening.empty());
    // Customers without a connection still get one, one after the other.
    send(other, statement(StatementKind::Write, "item"));
    EXPECT_EQ(m_opening.size(), 1U);
    send(third, statement(StatementKind::Write, "item"));
    EXPECT_EQ(m_opening.size(), 1U);
    answer(link, ResultCode::Complete, TransactionState::None, 11);
    EXPECT_EQ(lastReply(first).code, ResultCode::Complete);
    ASSERT_FALSE(take(link).empty());
    answer(link, ResultCode::Complete, TransactionState::None, 12);
    EXPECT_EQ(lastReply(second).code, ResultCode::Complete);
    // Later, connections are opened as before.
    acceptConnections();
    const std::size_t links = m_links.size();
    advance(260ms);
    send(first, statement(StatementKind::Write, "item"));
    send(second, statement(StatementKind::Write, "item"));
    EXPECT_EQ(m_links.size(), links + 1);
}
