#include "core/proxy/connection.h"

#include <gtest/gtest.h>

using namespace Proxy;

// Guards against a statement that runs with session values left on the connection by another session.
TEST(Connection, ResetsValuesOfAnotherSession)
{
    Connection connection;
    connection.values = { { "a", "1" }, { "b", "2" } };
    connection.prepared = { { { PreparedKind::Read, "q" }, "p1" } };
    SessionContext context;
    context.values = { { "b", "3" } };
    const auto commands = commandsToMatch(connection, context, nullptr);
    ASSERT_EQ(commands.size(), 2U);
    EXPECT_EQ(commands[0].kind, CommandKind::Reset);
    EXPECT_EQ(commands[1].kind, CommandKind::Set);
    EXPECT_EQ(commands[1].statement.argument, "3");
    EXPECT_EQ(connection.values, context.values);
    EXPECT_TRUE(connection.prepared.empty());
}

// Guards against needless messages to the upstream when the connection already matches the session.
TEST(Connection, SendsNoCommandsToMatchingConnection)
{
    Connection connection;
    SessionContext context;
    context.values = { { "a", "1" } };
    const PreparedShape shape { PreparedKind::Write, "q" };
    EXPECT_EQ(commandsToMatch(connection, context, &shape).size(), 2U);
    EXPECT_TRUE(commandsToMatch(connection, context, &shape).empty());
}

// Guards against running the wrong prepared statement because two sessions use one name on a connection for
// different shapes.
TEST(Connection, NamesEachPreparedShapeUniquely)
{
    Connection connection;
    const PreparedShape one { PreparedKind::Read, "q" };
    const PreparedShape two { PreparedKind::Write, "q" };
    commandsToMatch(connection, {}, &one);
    commandsToMatch(connection, {}, &two);
    EXPECT_NE(connection.prepared.at(one), connection.prepared.at(two));
}

// Guards against a connection that collects the prepared statements of all sessions that used it.
TEST(Connection, ForgetsPreparedStatementsBeyondLimit)
{
    Connection connection;
    bool wasReset = false;
    for (int i = 0; i < 100; ++i) {
        const PreparedShape shape { PreparedKind::Read, std::to_string(i) + std::string(100UL * 1024, 'x') };
        for (const Command& command : commandsToMatch(connection, {}, &shape))
            wasReset = wasReset || command.kind == CommandKind::Reset;
        EXPECT_LE(connection.contextBytes, 4300UL * 1024);
        EXPECT_TRUE(connection.prepared.contains(shape));
    }
    EXPECT_TRUE(wasReset);
}
