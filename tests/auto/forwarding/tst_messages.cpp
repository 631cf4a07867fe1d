#include "forwarding/messages.h"

#include <random>

#include <gtest/gtest.h>

using namespace Forwarding;
using namespace std::chrono_literals;

namespace {

Proxy::ForwardedStatement statement()
{
    Proxy::ForwardedStatement result { 12, 34 };
    result.statement = { "id-1", Proxy::StatementKind::Execute, "s1", std::string("item \xff\x00 data", 12) };
    result.shape = { Proxy::PreparedKind::Write, "q2c" };
    result.values = { { "v1", "abc" }, { "v2", "" } };
    result.route.database = "orders";
    result.route.service = "ledger";
    result.route.kind = Directory::RouteKind::OwnWrites;
    result.route.maxStaleness = 2500ms;
    result.route.statementTimeout = 700ms;
    result.route.targetLatency = 250ms;
    result.route.priority = 2;
    result.customer = "acme";
    result.state = Proxy::TransactionState::Open;
    result.isContinued = true;
    result.lastCommit = { 3, 1207 };
    return result;
}

}

// Guards against a statement that is executed with another text, value, route or position than it was sent
// with.
TEST(Messages, StatementIsUnchanged)
{
    const auto message = decode(encode(statement()));
    ASSERT_TRUE(message);
    const auto& decoded = std::get<Proxy::ForwardedStatement>(*message);
    const Proxy::ForwardedStatement expected = statement();
    EXPECT_EQ(decoded.session, expected.session);
    EXPECT_EQ(decoded.sequence, expected.sequence);
    EXPECT_EQ(decoded.statement.id, expected.statement.id);
    EXPECT_EQ(decoded.statement.kind, expected.statement.kind);
    EXPECT_EQ(decoded.statement.name, expected.statement.name);
    EXPECT_EQ(decoded.statement.argument, expected.statement.argument);
    EXPECT_EQ(decoded.shape, expected.shape);
    EXPECT_EQ(decoded.values, expected.values);
    EXPECT_EQ(decoded.route.service, expected.route.service);
    EXPECT_EQ(decoded.route.kind, expected.route.kind);
    EXPECT_EQ(decoded.route.maxStaleness, expected.route.maxStaleness);
    EXPECT_EQ(decoded.route.statementTimeout, expected.route.statementTimeout);
    EXPECT_EQ(decoded.route.targetLatency, expected.route.targetLatency);
    EXPECT_EQ(decoded.route.priority, expected.route.priority);
    EXPECT_EQ(decoded.customer, expected.customer);
    EXPECT_EQ(decoded.state, expected.state);
    EXPECT_EQ(decoded.isContinued, expected.isContinued);
    EXPECT_EQ(decoded.lastCommit, expected.lastCommit);
}

// Guards against a reply that loses rows, or turns one result into another.
TEST(Messages, ReplyIsUnchanged)
{
    const Proxy::Reply reply { { "row 1", "" }, Proxy::ResultCode::InDoubt, "text",
        Proxy::TransactionState::Failed, { 3, 8 } };
    const auto message = decode(encode(StatementReply { 1, 2, reply }));
    ASSERT_TRUE(message);
    const auto& decoded = std::get<StatementReply>(*message);
    EXPECT_EQ(decoded.sequence, 2U);
    EXPECT_EQ(decoded.reply.rows, reply.rows);
    EXPECT_EQ(decoded.reply.code, reply.code);
    EXPECT_EQ(decoded.reply.text, reply.text);
    EXPECT_EQ(decoded.reply.state, reply.state);
    EXPECT_EQ(decoded.reply.position, reply.position);
}

// Guards against a process that ends because of a damaged message, or executes one.
TEST(Messages, RejectsDamagedMessages)
{
    Proxy::ForwardedStatement withoutShape = statement();
    withoutShape.shape.reset();
    EXPECT_FALSE(decode(encode(withoutShape)));
    Proxy::ForwardedStatement local = statement();
    local.statement.kind = Proxy::StatementKind::Begin;
    EXPECT_FALSE(decode(encode(local)));
    EXPECT_FALSE(decode(""));
    const std::string valid = encode(statement());
    std::mt19937 generator(20261206);
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = valid.substr(0, generator() % (valid.size() + 1));
        for (unsigned change = 0; !damaged.empty() && change < generator() % 4; ++change)
            damaged[generator() % damaged.size()] = static_cast<char>(generator());
        const auto message = decode(damaged);
        const auto* decoded = message ? std::get_if<Proxy::ForwardedStatement>(&*message) : nullptr;
        if (decoded) {
            EXPECT_GE(decoded->route.statementTimeout, 0ms);
        }
    }
}
