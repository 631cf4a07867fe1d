#include "enginefixture.h"

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

constexpr ForwardLinkId firstLink = 7;
/// Number of the first forwarded session on the pool host; its own callers' sessions have lower ones.
constexpr SessionId firstForwarded = 1000;

/// An entry host in front of the engine of `EngineFixture`, which is the pool host.
class ForwardingFixture : public EngineFixture {
protected:
    ForwardingFixture()
    {
        EngineHooks hooks;
        hooks.reply = [this](SessionId, const Reply& reply) { m_callerReplies.push_back(reply); };
        hooks.rejectSession = [](SessionId, ResultCode, std::string_view) {};
        hooks.closeSession = [](SessionId) {};
        hooks.connect
            = [this](ConnectionId, const Directory::Upstream&, const std::string&) { ++m_directConnections; };
        hooks.send = [](ConnectionId, std::span<const Command>) {};
        hooks.disconnect = [](ConnectionId) {};
        hooks.admit = [](const Directory::Customer&, Model::Time) { return true; };
        hooks.explainLimit = [](const Directory::Customer&) { return std::string(); };
        hooks.decided = [](const Decision&) {};
        hooks.isNextTraced = [] { return false; };
        hooks.answered = [](const Session&, ResultCode, Model::Duration) {};
        hooks.chooseLink = [this](const std::string&, Model::Time) { return m_link; };
        hooks.forward = [this](ForwardLinkId link, const ForwardedStatement& statement) {
            if (link != m_link)
                return false;
            m_sent.push_back(statement);
            return true;
        };
        hooks.endForwarded = [this](ForwardLinkId, SessionId) { ++m_ended; };
        hooks.isLinkSuspect = [this](ForwardLinkId, Model::Time) { return m_isLinkSuspect; };
        hooks.poolHostCount = [](const std::string&) { return 0; };
        m_entry = std::make_unique<Engine>(m_view, "north", std::move(hooks));
        m_entry->directoryChanged(m_now);
    }

    void openAtEntry(const std::string& database)
    {
        m_entry->openSession(caller, database, "key-acme", m_now);
        m_callerReplies.clear();
    }

    void sendAtEntry(Statement statement) { m_entry->handle(caller, std::move(statement), m_now); }

    /// Lets the pool host execute the statement that was forwarded last, as the session `id`.
    void deliver(SessionId id = firstForwarded)
    {
        m_engine->handleForwarded(id, m_sent.back(), m_now);
        acceptConnections();
    }

    /// Hands the pool host's last reply to the entry host.
    void returnReply(SessionId id = firstForwarded)
    {
        m_entry->forwardAnswered(caller, m_sent.back().sequence, lastReply(id), m_now);
    }

    static constexpr SessionId caller = 1;
    ForwardLinkId m_link = firstLink;
    std::vector<ForwardedStatement> m_sent;
    std::vector<Reply> m_callerReplies;
    int m_directConnections = 0;
    int m_ended = 0;
    bool m_isLinkSuspect = false;
    std::unique_ptr<Engine> m_entry;
};

}

// Guards against a write that is sent with other values or another text than its session's, and against an
// entry host that opens connections of its own.
TEST_F(ForwardingFixture, ExecutesStatementWithSessionValuesAtPoolHost)
{
    openAtEntry("strict");
    sendAtEntry(named(StatementKind::Set, "v1", "abc"));
    sendAtEntry(named(StatementKind::Prepare, "s1", "q2c", PreparedKind::Write));
    sendAtEntry(named(StatementKind::Execute, "s1", "item data"));
    ASSERT_EQ(m_sent.size(), 1U);
    deliver();
    const ConnectionId link = linkTo("p");
    for (const Command& command : take(link)) {
        EXPECT_NE(command.kind, CommandKind::Statement);
        answer(link);
    }
    const auto commands = take(link);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].statement.id, "id-1");
    EXPECT_EQ(commands[0].statement.argument, "item data");
    answer(link, ResultCode::Complete, TransactionState::None, 50);
    returnReply();
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::Complete);
    EXPECT_EQ(m_callerReplies.back().text, "receipt");
    EXPECT_EQ(m_directConnections, 0);
    EXPECT_EQ(m_engine->sessionCount(), 0U);
}

// Guards against a session that does not read its own write after it was forwarded: the position returns to
// the entry host and goes with the next statement.
TEST_F(ForwardingFixture, NextStatementCarriesPositionOfLastCommit)
{
    openAtEntry("own");
    sendAtEntry(statement(StatementKind::Write, "item data"));
    deliver();
    answer(linkTo("p"), ResultCode::Complete, TransactionState::None, 60);
    returnReply();
    sendAtEntry(statement(StatementKind::Read, "item"));
    EXPECT_EQ(m_sent.back().lastCommit.position, 60U);
}

// Guards against the statements of one transaction on several connections or hosts.
TEST_F(ForwardingFixture, TransactionStaysOnItsLink)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Begin));
    sendAtEntry(statement(StatementKind::Write, "item data"));
    EXPECT_FALSE(m_sent.back().isContinued);
    deliver();
    const ConnectionId link = linkTo("p");
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    returnReply();
    ASSERT_EQ(m_callerReplies.back().state, TransactionState::Open);
    sendAtEntry(statement(StatementKind::Commit));
    EXPECT_TRUE(m_sent.back().isContinued);
    deliver();
    EXPECT_EQ(take(link).back().statement.kind, StatementKind::Commit);
    answer(link, ResultCode::Complete, TransactionState::None, 11);
    returnReply();
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::Complete);
    EXPECT_EQ(m_callerReplies.back().state, TransactionState::None);
}

// Guards against a caller that is told that a write has not run, although its answer was lost on the way.
TEST_F(ForwardingFixture, WriteIsInDoubtAfterLostLink)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Write, "item data"));
    m_link = 0;
    m_entry->forwardLinkLost(firstLink, m_now);
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::InDoubt);
    EXPECT_EQ(m_sent.size(), 1U);
}

// Guards against a commit whose caller is told that nothing is kept, although it may have been executed.
TEST_F(ForwardingFixture, CommitIsInDoubtAfterLostLink)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Begin));
    sendAtEntry(statement(StatementKind::Write, "item data"));
    deliver();
    const ConnectionId link = linkTo("p");
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    returnReply();
    sendAtEntry(statement(StatementKind::Commit));
    m_entry->forwardLinkLost(firstLink, m_now);
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::InDoubt);
}

// Guards against a transaction that goes on at another host without its earlier statements.
TEST_F(ForwardingFixture, TransactionIsAbortedAfterLostLink)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Begin));
    sendAtEntry(statement(StatementKind::Write, "item data"));
    deliver();
    const ConnectionId link = linkTo("p");
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    returnReply();
    m_entry->forwardLinkLost(firstLink, m_now);
    m_link = firstLink + 1;
    sendAtEntry(statement(StatementKind::Commit));
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::Aborted);
    EXPECT_EQ(m_sent.size(), 1U);
}

// As above, if the pool host has forgotten the transaction, for example because it was idle for too long.
TEST_F(ForwardingFixture, PoolHostAbortsUnknownTransaction)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Begin));
    sendAtEntry(statement(StatementKind::Write, "item data"));
    deliver();
    const ConnectionId link = linkTo("p");
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    returnReply();
    sendAtEntry(statement(StatementKind::Commit));
    deliver(firstForwarded + 1);
    returnReply(firstForwarded + 1);
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::Aborted);
    EXPECT_EQ(m_callerReplies.back().state, TransactionState::None);
}

// Guards against a read that is lost with its pool host although another host could run it.
TEST_F(ForwardingFixture, ReadIsForwardedAgainAfterLostLink)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Read, "item"));
    m_link = firstLink + 1;
    m_entry->forwardLinkLost(firstLink, m_now);
    ASSERT_EQ(m_sent.size(), 2U);
    EXPECT_TRUE(m_callerReplies.empty());
    // The first host's answer may still arrive.
    m_entry->forwardAnswered(caller, m_sent.front().sequence, Reply {}, m_now);
    EXPECT_TRUE(m_callerReplies.empty());
}

// Guards against a fleet that serves nothing because no pool host is usable.
TEST_F(ForwardingFixture, ExecutesStatementsWithoutPoolHost)
{
    m_link = 0;
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Write, "item data"));
    EXPECT_TRUE(m_sent.empty());
    EXPECT_GT(m_directConnections, 0);
}

// Guards against a write that is refused although the pool host has not taken it.
TEST_F(ForwardingFixture, DeclinedStatementIsSentAgain)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Write, "item data"));
    m_entry->forwardDeclined(caller, m_sent.back().sequence, m_now);
    EXPECT_EQ(m_sent.size(), 2U);
    EXPECT_TRUE(m_callerReplies.empty());
}

// Guards against a pool host that keeps a connection inside the transaction of a caller that has left.
TEST_F(ForwardingFixture, EndsTransactionOfCallerThatLeft)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Begin));
    sendAtEntry(statement(StatementKind::Write, "item data"));
    deliver();
    m_entry->sessionClosed(caller, m_now);
    EXPECT_EQ(m_ended, 1);
    m_engine->sessionClosed(firstForwarded, m_now);
    EXPECT_EQ(m_engine->sessionCount(), 0U);
}

// Guards against a caller that waits for ever for the answer of a pool host.
TEST_F(ForwardingFixture, GivesUpOverdueAnswer)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Write, "item data"));
    m_now += 800ms;
    m_entry->tick(m_now);
    EXPECT_TRUE(m_callerReplies.empty());
    m_now += 200ms;
    m_entry->tick(m_now);
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::InDoubt);
    EXPECT_EQ(m_ended, 1);
}

// Guards against a timer that is due all the time while an answer is overdue but not given up yet.
TEST_F(ForwardingFixture, NextTickLiesAheadWhileAnswerIsOverdue)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Write, "item data"));
    m_now += 870ms;
    m_entry->tick(m_now);
    EXPECT_GT(m_entry->nextTick(m_now), m_now);
}

// Guards against reads that wait for a pool host that was cut off, although others could run them. A write
// may have run.
TEST_F(ForwardingFixture, OnlyReadsAreTriedElsewhereIfPoolHostIsSilent)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Read, "item"));
    m_isLinkSuspect = true;
    m_now += 100ms;
    m_entry->tick(m_now);
    EXPECT_EQ(m_sent.size(), 2U);
    EXPECT_EQ(m_ended, 1);
    m_isLinkSuspect = false;
    m_entry->forwardAnswered(caller, m_sent.back().sequence, Reply {}, m_now);
    sendAtEntry(statement(StatementKind::Write, "item data"));
    m_isLinkSuspect = true;
    m_entry->tick(m_now);
    EXPECT_EQ(m_sent.size(), 3U);
}

// Guards against writes of a whole zone that fail because its pool host does not reach the primary.
TEST_F(ForwardingFixture, PoolHostWithoutPrimaryDeclinesNewWrites)
{
    setUpstream("p", Directory::Role::Replica);
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Write, "item data"));
    m_engine->handleForwarded(firstForwarded, m_sent.back(), m_now);
    EXPECT_EQ(m_declined, std::vector { firstForwarded });
    EXPECT_EQ(m_engine->sessionCount(), 0U);
}

// Guards against a pool host that runs the operations and transactions of other hosts' callers until it ends,
// and cuts them.
TEST_F(ForwardingFixture, PoolHostEndsTransactionsOnShutdown)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Begin));
    sendAtEntry(statement(StatementKind::Write, "item data"));
    deliver();
    const ConnectionId link = linkTo("p");
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    m_engine->endTransactions(m_now);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    returnReply();
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::Complete);
    take(link);
    sendAtEntry(statement(StatementKind::Commit));
    deliver();
    EXPECT_EQ(take(link).at(0).kind, CommandKind::Rollback);
    returnReply();
    EXPECT_EQ(m_callerReplies.back().code, ResultCode::Aborted);
    sendAtEntry(statement(StatementKind::Write, "item data"));
    deliver(firstForwarded + 1);
    EXPECT_EQ(m_declined, std::vector<SessionId> { firstForwarded + 1 });
}

// Guards against a queued operation of another host that is in doubt after the end of the pool host, although
// it certainly did not run.
TEST_F(ForwardingFixture, PoolHostReturnsQueuedOperationsOnShutdown)
{
    openAtEntry("strict");
    sendAtEntry(statement(StatementKind::Write, "item data"));
    m_engine->handleForwarded(firstForwarded, m_sent.back(), m_now);
    m_engine->endTransactions(m_now);
    EXPECT_EQ(m_declined, std::vector<SessionId> { firstForwarded });
    EXPECT_EQ(m_engine->sessionCount(), 0U);
}
