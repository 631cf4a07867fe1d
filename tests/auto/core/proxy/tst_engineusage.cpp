#include "enginefixture.h"

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

class EngineUsage : public EngineFixture {
protected:
    /// Lets a session on the route write, with this reply of the upstream.
    void write(const std::string& database, ResultCode code)
    {
        const SessionId session = open(database);
        send(session, statement(StatementKind::Write, "item"));
        acceptConnections();
        const ConnectionId link = linkTo("p");
        take(link);
        answer(link, code);
    }
};

}

// Guards against bills for statements that did not run, and against statements that ran and are not billed.
TEST_F(EngineUsage, CountsStatementsThatBegan)
{
    write("own", ResultCode::Complete);
    EXPECT_EQ(m_operationsRan, (std::map<std::string, int> { { "acme", 1 } }));
    write("own", ResultCode::Failed);
    EXPECT_EQ(m_operationsRan.at("acme"), 2);
    write("own", ResultCode::Busy);
    write("own", ResultCode::ReadOnly);
    EXPECT_EQ(m_operationsRan.at("acme"), 2);
}

// Guards against a bill for the proxy's own BEGIN and ROLLBACK.
TEST_F(EngineUsage, CountsNoCommandsOfTransactions)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Read, "item"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    EXPECT_TRUE(m_operationsRan.empty());
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    answer(link);
    EXPECT_EQ(m_operationsRan.at("acme"), 1);
}

// Guards against a bill for each statement of a transaction: the customer's rate counts operations, too.
TEST_F(EngineUsage, CountsTransactionOnce)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Begin));
    send(session, statement(StatementKind::Write, "item data"));
    acceptConnections();
    const ConnectionId link = linkTo("p");
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    send(session, statement(StatementKind::Write, "item data"));
    answer(link, ResultCode::Complete, TransactionState::Open, 10);
    send(session, statement(StatementKind::Commit));
    answer(link, ResultCode::Complete, TransactionState::None, 11);
    EXPECT_EQ(m_operationsRan.at("acme"), 1);
}

// Guards against a statement that is not billed because its answer was lost.
TEST_F(EngineUsage, CountsStatementWithLostAnswer)
{
    const SessionId session = open("own");
    send(session, statement(StatementKind::Write, "item"));
    acceptConnections();
    m_engine->connectionLost(linkTo("p"), m_now);
    EXPECT_EQ(m_operationsRan.at("acme"), 1);
}

// Guards against a bill for a route that is open to callers without a key.
TEST_F(EngineUsage, CountsNoStatementsOnOpenRoutes)
{
    configure([](auto& configuration) {
        for (auto& route : configuration.routes)
            route.isOpen = true;
    });
    write("own", ResultCode::Complete);
    EXPECT_TRUE(m_operationsRan.empty());
}
