#include "enginefixture.h"

using namespace Proxy;
using namespace std::chrono_literals;

// Guards against a session for an unknown database or with an unknown key; an open route needs no key.
TEST_F(EngineFixture, RejectsUnknownDatabasesAndKeys)
{
    EXPECT_EQ(m_rejections[open("nowhere")], ResultCode::NoDatabase);
    EXPECT_EQ(m_rejections[open("strict", "wrong")], ResultCode::InvalidKey);
    const SessionId session = open("strict");
    EXPECT_EQ(replyCount(session), 1U);
    configure([](auto& configuration) { configuration.routes[0].isOpen = true; });
    EXPECT_EQ(replyCount(open("strict", "wrong")), 1U);
}

// Guards against a stale read on a primary that was replaced. The read runs inside a transaction, which only
// the primary begins, and is not sent before the transaction has begun.
TEST_F(EngineFixture, ReadOnPrimaryRouteConfirmsPrimaryRoleFirst)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Read, "item"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    auto commands = take(link);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, CommandKind::Begin);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    commands = take(link);
    ASSERT_EQ(commands.size(), 2U);
    EXPECT_EQ(commands[0].kind, CommandKind::Statement);
    EXPECT_EQ(commands[1].kind, CommandKind::Rollback);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
    EXPECT_EQ(lastReply(session).state, TransactionState::None);
    EXPECT_EQ(lastReply(session).text, "receipt");
}

// Guards against a read that a previous primary runs after it refused to begin the transaction.
TEST_F(EngineFixture, SendsNoReadAfterRefusedBegin)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Read, "item"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    take(link);
    answer(link, ResultCode::ReadOnly, TransactionState::None, 10);
    for (const Command& command : take(link))
        EXPECT_NE(command.kind, CommandKind::Statement);
    setUpstream("q", Directory::Role::Primary);
    advance(1ms);
    acceptConnections();
    const auto commands = take(linkTo("q"));
    ASSERT_FALSE(commands.empty());
    EXPECT_EQ(commands[0].kind, CommandKind::Begin);
}

// Guards against stale reads on replicas, and against reads that load the primary without need.
TEST_F(EngineFixture, BoundedReadRequiresPositionOfPrimary)
{
    observePrimary(42);
    advance(100ms);
    const SessionId session = open("bounded", "key-bolt");
    send(session, statement(StatementKind::Read, "item"));
    acceptConnections();
    EXPECT_TRUE(take(linkTo("p")).empty());
    const ConnectionId link = linkTo("q") != 0 ? linkTo("q") : linkTo("r");
    const auto commands = take(link);
    ASSERT_EQ(commands.size(), 1U);
    ASSERT_TRUE(commands[0].after);
    EXPECT_EQ(commands[0].after->position, 42U);
}

// Guards against a bounded read that is staler than its route allows, because the last observed position is
// too old.
TEST_F(EngineFixture, RoutesBoundedReadToPrimaryWithoutRecentPosition)
{
    observePrimary(42);
    advance(5s);
    const SessionId session = open("bounded");
    send(session, statement(StatementKind::Read, "item"));
    acceptConnections();
    const auto commands = take(linkTo("p"));
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, CommandKind::Begin);
}

// Guards against a session on an own-writes route that does not see its own write, because the replica has
// not received it.
TEST_F(EngineFixture, OwnWritesReadRequiresLastCommit)
{
    const SessionId session = open("own");
    send(session, statement(StatementKind::Write, "item data"));
    acceptConnections();
    take(linkTo("p"));
    answer(linkTo("p"), ResultCode::Complete, TransactionState::None, 77);
    m_now += 900ms;
    observePrimary(80);
    const SessionId other = open("own");
    send(session, statement(StatementKind::Read, "item"));
    acceptConnections();
    for (const std::string upstream : { "q", "r", "p" }) {
        const ConnectionId link = linkTo(upstream);
        const auto commands = link ? take(link) : std::vector<Command>();
        if (commands.empty())
            continue;
        ASSERT_TRUE(commands.back().after);
        EXPECT_GE(commands.back().after->position, 77U);
    }
    EXPECT_NE(other, session);
}

// Guards against opening connections although an idle one can run the read: a service whose connections are
// slow to open gets overloaded by them (run scale-1 of deployment asahi-bindery: worth -0.22).
TEST_F(EngineFixture, UsesIdleConnectionBeforeOpeningNewOne)
{
    observePrimary(42);
    send(open("bounded"), statement(StatementKind::Read, "item"));
    EXPECT_TRUE(m_opening.empty());
    const auto commands = take(linkTo("p"));
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].after->position, 42U);
}

// Guards against a host that occupies an upstream's execution slots by opening many connections at once.
TEST_F(EngineFixture, LimitsConcurrentConnectionOpenings)
{
    for (int i = 0; i < 10; ++i)
        send(open("strict"), statement(StatementKind::Write, "a 1"));
    EXPECT_LE(m_opening.size(), 2U);
}

// Guards against an error to the caller when a replica lacks the required position: another upstream has to
// run the read.
TEST_F(EngineFixture, RetriesReadElsewhereAfterLaggingReplica)
{
    observePrimary(42);
    const SessionId session = open("bounded", "key-bolt");
    send(session, statement(StatementKind::Read, "item"));
    acceptConnections();
    const std::string first = linkTo("q") != 0 ? "q" : "r";
    take(linkTo(first));
    answer(linkTo(first), ResultCode::Lagging, TransactionState::None, 3);
    acceptConnections();
    const std::string second = first == "q" ? "r" : "q";
    const ConnectionId next = linkTo(second) != 0 ? linkTo(second) : linkTo("p");
    EXPECT_FALSE(take(next).empty());
    EXPECT_EQ(replyCount(session), 1U);
}

// Guards against statements of one transaction on two connections, and of another session on its connection.
TEST_F(EngineFixture, KeepsConnectionForWholeTransaction)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Begin));
    EXPECT_EQ(lastReply(session).state, TransactionState::Open);
    send(session, statement(StatementKind::Write, "a 1"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    EXPECT_EQ(take(link).at(0).kind, CommandKind::Begin);
    answer(link, ResultCode::Complete, TransactionState::Open);
    EXPECT_EQ(take(link).at(0).kind, CommandKind::Statement);
    answer(link, ResultCode::Complete, TransactionState::Open);
    const SessionId other = open("strict");
    send(other, statement(StatementKind::Write, "b 2"));
    EXPECT_TRUE(take(link).empty());
    send(session, statement(StatementKind::Commit));
    const auto commands = take(link);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].statement.kind, StatementKind::Commit);
    answer(link, ResultCode::Complete, TransactionState::None, 12);
    EXPECT_EQ(lastReply(session).state, TransactionState::None);
    EXPECT_FALSE(take(link).empty());
}

// Guards against a connection that is reused by another session while a transaction is still open on it.
TEST_F(EngineFixture, RollsBackTransactionOfClosedSessionBeforeReuse)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Begin));
    send(session, statement(StatementKind::Write, "a 1"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    answer(link, ResultCode::Complete, TransactionState::Open);
    answer(link, ResultCode::Complete, TransactionState::Open);
    take(link);
    m_engine->sessionClosed(session, m_now);
    EXPECT_EQ(take(link).at(0).kind, CommandKind::Rollback);
    const SessionId other = open("strict");
    send(other, statement(StatementKind::Write, "b 2"));
    EXPECT_TRUE(take(link).empty());
    answer(link);
    EXPECT_EQ(take(link).at(0).kind, CommandKind::Statement);
}

// Guards against a statement of one customer on the connection of another.
TEST_F(EngineFixture, OpensSeparateConnectionPerCustomer)
{
    observePrimary(1);
    const SessionId session = open("strict", "key-bolt");
    send(session, statement(StatementKind::Write, "a 1"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    EXPECT_EQ(m_links.at(link).customer, "bolt");
    EXPECT_FALSE(take(link).empty());
}

// Guards against prepared statements of two sessions that collide because the callers chose the same name.
TEST_F(EngineFixture, NamesPreparedStatementsPerConnection)
{
    const SessionId one = open("strict");
    const SessionId two = open("strict");
    send(one, named(StatementKind::Prepare, "s", "shape-1", PreparedKind::Write));
    send(two, named(StatementKind::Prepare, "s", "shape-2", PreparedKind::Write));
    std::vector<std::string> names;
    for (const SessionId session : { one, two }) {
        send(session, named(StatementKind::Execute, "s", "item data"));
        acceptConnections();
        const ConnectionId link = linkTo("p");
        const auto preparation = take(link);
        ASSERT_EQ(preparation.size(), 1U);
        EXPECT_EQ(preparation[0].kind, CommandKind::Prepare);
        answer(link);
        const auto commands = take(link);
        ASSERT_EQ(commands.size(), 1U);
        EXPECT_EQ(preparation[0].statement.name, commands[0].statement.name);
        names.push_back(commands[0].statement.name);
        answer(link, ResultCode::Complete, TransactionState::None, 5);
    }
    EXPECT_NE(names[0], names[1]);
    send(one, named(StatementKind::Close, "s"));
    send(one, named(StatementKind::Execute, "s", "item data"));
    EXPECT_EQ(lastReply(one).code, ResultCode::UnknownStatement);
}

// Guards against work for a customer beyond its rate: a new operation is refused at once as not run, while an
// open transaction continues.
TEST_F(EngineFixture, RefusesOperationBeyondRateImmediately)
{
    const SessionId session = open("strict");
    m_isAdmitted = false;
    send(session, statement(StatementKind::Write, "a 1"));
    EXPECT_EQ(lastReply(session).code, ResultCode::Busy);
    send(session, statement(StatementKind::Begin));
    EXPECT_EQ(lastReply(session).code, ResultCode::Busy);
    EXPECT_EQ(lastReply(session).state, TransactionState::None);
    m_isAdmitted = true;
    send(session, statement(StatementKind::Begin));
    m_isAdmitted = false;
    send(session, statement(StatementKind::Write, "a 1"));
    EXPECT_EQ(replyCount(session), 4U);
}

// Guards against a session that continues to run operations after its key was withdrawn or its route removed.
TEST_F(EngineFixture, RefusesWithdrawnKeyOnOpenSession)
{
    const SessionId session = open("strict");
    configure([](auto& configuration) { configuration.customerByKey.erase("key-acme"); });
    send(session, statement(StatementKind::Write, "a 1"));
    EXPECT_EQ(lastReply(session).code, ResultCode::InvalidKey);
    configure([](auto& configuration) { configuration.routes.erase(configuration.routes.begin()); });
    send(session, statement(StatementKind::Write, "a 1"));
    EXPECT_EQ(lastReply(session).code, ResultCode::NoDatabase);
}

// Guards against reordering of pipelined statements, and against an unbounded number of them.
TEST_F(EngineFixture, RunsPipelinedStatementsInOrder)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "a 1"));
    send(session, statement(StatementKind::Set));
    send(session, statement(StatementKind::Write, "b 2"));
    EXPECT_EQ(replyCount(session), 1U);
    acceptConnections();
    const ConnectionId link = linkTo("p");
    EXPECT_EQ(take(link).size(), 1U);
    answer(link, ResultCode::Complete, TransactionState::None, 1);
    EXPECT_EQ(replyCount(session), 3U);
    EXPECT_FALSE(take(link).empty());
    for (int i = 0; i < 100; ++i)
        send(session, statement(StatementKind::Set));
    EXPECT_TRUE(m_closedSessions.contains(session));
}

// Guards against rejecting sessions at the start of a host, before its first configuration arrives: when a
// whole fleet was killed, 2,733 sessions were rejected in half a second (incident inc-ea9a of deployment
// tsh-approvals-grown).
TEST_F(EngineFixture, QueuesSessionsUntilFirstConfiguration)
{
    m_view = Directory::View();
    const SessionId known = open("own");
    const SessionId unknown = open("nowhere");
    send(known, named(StatementKind::Set, "v", "1"));
    EXPECT_EQ(replyCount(known), 0U);
    EXPECT_TRUE(m_rejections.empty());
    configure();
    // The reply to the opening of the session, and the one to its pipelined statement.
    EXPECT_EQ(replyCount(known), 2U);
    EXPECT_EQ(m_rejections[unknown], ResultCode::NoDatabase);
}

// Guards against callers that time out because their sessions stay queued while no configuration arrives.
TEST_F(EngineFixture, RejectsQueuedSessionsWithoutConfigurationAfterTimeout)
{
    m_view = Directory::View();
    const SessionId session = open("own");
    const SessionId closed = open("own");
    m_engine->sessionClosed(closed, m_now);
    advance(2s);
    EXPECT_EQ(m_rejections[session], ResultCode::Busy);
    EXPECT_FALSE(m_rejections.contains(closed));
}

// Guards against a session that keeps values and prepared statements without a limit.
TEST_F(EngineFixture, RefusesValuesBeyondLimitOfSession)
{
    const SessionId session = open("strict");
    const std::string large(512UL * 1024, 'x');
    for (const char* name : { "a", "b", "c" }) {
        send(session, named(StatementKind::Set, name, large));
        EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
    }
    send(session, named(StatementKind::Prepare, "d", large));
    EXPECT_EQ(lastReply(session).code, ResultCode::Malformed);
    send(session, named(StatementKind::Set, "a", "small"));
    send(session, named(StatementKind::Prepare, "d", large));
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
    const std::size_t before = m_engine->sessionBytes(session).context;
    send(session, named(StatementKind::Close, "d"));
    EXPECT_EQ(before - m_engine->sessionBytes(session).context, large.size() + 161);
}

// Guards against waiting statements whose memory is not reported, so that a session may send too far ahead,
// or stays reported, so that it is never read again.
TEST_F(EngineFixture, ReportsMemoryOfWaitingStatements)
{
    const SessionId session = open("strict");
    EXPECT_EQ(m_engine->sessionBytes(session).statements, 0U);
    for (int i = 0; i < 3; ++i)
        send(session, statement(StatementKind::Write, std::string(1000, 'x')));
    EXPECT_GE(m_engine->sessionBytes(session).statements, 3000U);
    acceptConnections();
    for (int i = 0; i < 3; ++i)
        answer(linkTo("p"));
    EXPECT_EQ(replyCount(session), 4U);
    EXPECT_EQ(m_engine->sessionBytes(session).statements, 0U);
}
