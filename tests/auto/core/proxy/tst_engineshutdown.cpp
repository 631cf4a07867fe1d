#include "enginefixture.h"

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

class EngineShutdown : public EngineFixture {
protected:
    /// Opens a session with a transaction whose first statement, a write, the primary has completed.
    SessionId beginTransaction(const std::string& key = "key-acme")
    {
        const SessionId session = open("strict", key);
        send(session, statement(StatementKind::Begin));
        m_link = run(session, StatementKind::Write);
        answer(m_link, ResultCode::Complete, TransactionState::Open);
        answer(m_link, ResultCode::Complete, TransactionState::Open);
        take(m_link);
        return session;
    }

    /// Connection of the transaction that was begun last.
    ConnectionId m_link = 0;
};

}

// Guards against a shutdown that cuts the statements of a caller that is seldom idle: its session has to end
// after one of its answers.
TEST_F(EngineShutdown, ClosesBusySessionAfterAnswerOnShutdown)
{
    const SessionId session = open("strict");
    const SessionId inTransaction = open("strict", "key-bolt");
    send(inTransaction, statement(StatementKind::Begin));
    const ConnectionId other = run(inTransaction, StatementKind::Write);
    const ConnectionId link = run(session, StatementKind::Write);
    send(session, statement(StatementKind::Write, "b 2"));
    m_engine->closeIdleSessions();
    answer(link, ResultCode::Complete, TransactionState::None, 1);
    EXPECT_EQ(replyCount(session), 2U);
    // The pipelined statement was accepted before, so it is answered too.
    EXPECT_FALSE(m_closedSessions.contains(session));
    answer(link, ResultCode::Complete, TransactionState::None, 2);
    EXPECT_EQ(replyCount(session), 3U);
    EXPECT_TRUE(m_closedSessions.contains(session));
    answer(other, ResultCode::Complete, TransactionState::Open);
    answer(other, ResultCode::Complete, TransactionState::Open);
    EXPECT_FALSE(m_closedSessions.contains(inTransaction));
    send(inTransaction, statement(StatementKind::Commit));
    answer(other, ResultCode::Complete, TransactionState::None, 3);
    EXPECT_TRUE(m_closedSessions.contains(inTransaction));
}

// Guards against a shutdown that waits for callers that are idle, also within transactions.
TEST_F(EngineShutdown, ClosesIdleSessionsAndTransactionsOnShutdown)
{
    const SessionId idle = open("strict");
    const SessionId idleInTransaction = open("strict");
    send(idleInTransaction, statement(StatementKind::Begin));
    const SessionId running = open("strict");
    run(running, StatementKind::Write);
    m_engine->closeIdleSessions();
    EXPECT_TRUE(m_closedSessions.contains(idle));
    EXPECT_FALSE(m_closedSessions.contains(idleInTransaction));
    m_engine->endTransactions(m_now);
    EXPECT_TRUE(m_closedSessions.contains(idleInTransaction));
    EXPECT_FALSE(m_closedSessions.contains(running));
}

// Guards against a shutdown that cuts the statements of a transaction: one that is never idle when the host
// looks for idle transactions went on until the process ended.
TEST_F(EngineShutdown, AbortsTransactionThatIsNeverIdle)
{
    for (const StatementKind next : { StatementKind::Read, StatementKind::Commit, StatementKind::Set }) {
        createEngine();
        const SessionId session = beginTransaction();
        send(session, statement(StatementKind::Read, "a"));
        take(m_link);
        m_engine->closeIdleSessions();
        m_engine->endTransactions(m_now);
        EXPECT_FALSE(m_closedSessions.contains(session));
        answer(m_link, ResultCode::Complete, TransactionState::Open);
        EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
        send(session, named(next, "v1", "a"));
        EXPECT_EQ(lastReply(session).code, ResultCode::Aborted);
        const auto commands = take(m_link);
        ASSERT_EQ(commands.size(), 1U);
        EXPECT_EQ(commands[0].kind, CommandKind::Rollback);
        if (next != StatementKind::Commit) {
            EXPECT_FALSE(m_closedSessions.contains(session));
            m_engine->endTransactions(m_now);
            EXPECT_FALSE(m_closedSessions.contains(session));
            send(session, statement(StatementKind::Rollback));
        }
        m_engine->closeIdleSessions();
        EXPECT_TRUE(m_closedSessions.contains(session));
        m_closedSessions.clear();
    }
}

// Guards against a shutdown that runs the operations of a caller that pipelines without a pause until the
// process ends.
TEST_F(EngineShutdown, RefusesPipelinedOperationsAfterEndOfTransactions)
{
    const SessionId session = open("strict");
    const ConnectionId link = run(session, StatementKind::Write);
    send(session, statement(StatementKind::Write, "b 2"));
    m_engine->closeIdleSessions();
    m_engine->endTransactions(m_now);
    answer(link, ResultCode::Complete, TransactionState::None, 1);
    EXPECT_EQ(replyCount(session), 3U);
    EXPECT_EQ(lastReply(session).code, ResultCode::Busy);
    EXPECT_TRUE(m_closedSessions.contains(session));
    EXPECT_TRUE(take(link).empty());
}

// Guards against statements that are still at their upstream or queued when the process ends, and whose
// callers get no answer.
TEST_F(EngineShutdown, AnswersEveryStatementByTheLatestDeadline)
{
    const SessionId transaction = beginTransaction("key-bolt");
    send(transaction, statement(StatementKind::Read, "a"));
    const SessionId writer = open("strict");
    run(writer, StatementKind::Write);
    const SessionId reader = open("own");
    send(reader, statement(StatementKind::Read, "a"));
    m_engine->limitDeadlines(m_now + 300ms);
    EXPECT_LE(m_engine->nextTick(m_now), m_now + 350ms);
    advance(100ms);
    const SessionId late = open("strict");
    send(late, statement(StatementKind::Write, "a 1"));
    EXPECT_TRUE(m_engine->hasUnansweredStatements());
    advance(199ms);
    EXPECT_EQ(replyCount(writer), 1U);
    advance(60ms);
    EXPECT_EQ(lastReply(writer).code, ResultCode::InDoubt);
    EXPECT_EQ(lastReply(transaction).code, ResultCode::Aborted);
    EXPECT_EQ(lastReply(reader).code, ResultCode::Busy);
    EXPECT_EQ(lastReply(late).code, ResultCode::Busy);
    EXPECT_FALSE(m_engine->hasUnansweredStatements());
}

// Guards against an operation that waits for its admission and is cut at the end of the process.
TEST_F(EngineShutdown, RefusesOperationThatAwaitsAdmission)
{
    createEngine({ .schedulesStatements = true });
    m_isAdmitted = false;
    m_admissionWait = 50ms;
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    m_engine->closeIdleSessions();
    EXPECT_TRUE(m_engine->hasUnansweredStatements());
    m_engine->endTransactions(m_now);
    advance(20ms);
    EXPECT_EQ(lastReply(session).code, ResultCode::Busy);
    m_engine->closeIdleSessions();
    EXPECT_TRUE(m_closedSessions.contains(session));
}

// Guards against callers without an answer whose host is shut down before it knows a configuration.
TEST_F(EngineShutdown, RejectsSessionsThatAwaitFirstConfiguration)
{
    m_view = Directory::View();
    const SessionId session = open("strict");
    m_engine->closeIdleSessions();
    EXPECT_EQ(m_rejections.at(session), ResultCode::Busy);
}
