#include "eventloop/loop.h"
#include "eventloop/timer.h"
#include "forwarding/forwarder.h"
#include "forwarding/receiver.h"

#include <gtest/gtest.h>

using namespace Forwarding;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 21100;
constexpr int lastPort = 21199;

/// A host that forwards to a pool host, both on one loop.
class ForwardingTest : public testing::Test {
protected:
    ForwardingTest()
        : m_forwarder(m_loop, "entry", "north", forwarderHooks())
        , m_updates(m_loop, [this] { update(); })
    {
        startReceiver();
        update();
    }

    ForwarderHooks forwarderHooks()
    {
        ForwarderHooks hooks;
        hooks.answered = [this](const StatementReply& reply) { m_replies.push_back(reply); };
        hooks.declined = [this](const Decline& decline) { m_declines.push_back(decline); };
        hooks.linkLost = [this](Proxy::ForwardLinkId link) { m_lostLinks.push_back(link); };
        return hooks;
    }

    void startReceiver()
    {
        ReceiverHooks hooks;
        hooks.received = [this](Proxy::SessionId id, const Proxy::ForwardedStatement& statement) {
            m_received.emplace_back(id, statement);
        };
        hooks.ended = [this](Proxy::SessionId id) { m_ended.push_back(id); };
        hooks.isConfigured = [this] { return m_isConfigured; };
        m_receiver = std::make_unique<Receiver>(m_loop, std::move(hooks));
        ASSERT_FALSE(m_receiver->listen("127.0.0.1", firstPort, lastPort));
        const std::string address = "127.0.0.1:" + std::to_string(m_receiver->port());
        // Without a share, this host is not ranked itself.
        m_forwarder.setHosts(
            { { { "pool", "north", 0.5 }, address }, { { "entry", "north", 0 }, "127.0.0.1:1" } });
    }

    void update()
    {
        m_forwarder.update(EventLoop::now());
        m_updates.start(20ms);
    }

    /// Runs the loop until `isDone`, at most a few thousand steps of the timer.
    bool runUntil(const std::function<bool()>& isDone)
    {
        constexpr int maxSteps = 3000;
        int steps = 0;
        EventLoop::Timer timer(m_loop, [&] {
            if (isDone() || ++steps >= maxSteps)
                m_loop.stop();
            else
                timer.start(2ms);
        });
        timer.start(0ms);
        m_loop.run();
        return isDone();
    }

    Proxy::ForwardLinkId link() { return m_forwarder.chooseLink("ledger", EventLoop::now()); }

    static Proxy::ForwardedStatement statement(Proxy::SessionId session, bool isContinued = false)
    {
        Proxy::ForwardedStatement result { session, 1 };
        result.statement = { "id-1", Proxy::StatementKind::Write, {}, "item data" };
        result.route.service = "ledger";
        result.isContinued = isContinued;
        return result;
    }

    EventLoop::Loop m_loop;
    std::vector<StatementReply> m_replies;
    std::vector<Decline> m_declines;
    std::vector<Proxy::ForwardLinkId> m_lostLinks;
    std::vector<std::pair<Proxy::SessionId, Proxy::ForwardedStatement>> m_received;
    std::vector<Proxy::SessionId> m_ended;
    bool m_isConfigured = true;
    Forwarder m_forwarder;
    EventLoop::Timer m_updates;
    std::unique_ptr<Receiver> m_receiver;
};

}

// Guards against replies that are lost or reach another session.
TEST_F(ForwardingTest, CarriesStatementsAndReplies)
{
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    ASSERT_TRUE(m_forwarder.forward(link(), statement(5)));
    ASSERT_TRUE(m_forwarder.forward(link(), statement(6)));
    ASSERT_TRUE(runUntil([this] { return m_received.size() == 2; }));
    EXPECT_NE(m_received[0].first, m_received[1].first);
    m_receiver->reply(m_received[1].first, { { "row" } });
    ASSERT_TRUE(runUntil([this] { return !m_replies.empty(); }));
    EXPECT_EQ(m_replies[0].session, 6U);
    EXPECT_EQ(m_replies[0].reply.rows, std::vector<std::string> { "row" });
}

// Guards against a transaction that stays open on the pool host when the host of its session is gone, and
// against a host that does not notice that its pool host is.
TEST_F(ForwardingTest, BothSidesNoticeLostConnection)
{
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    const Proxy::ForwardLinkId lost = link();
    ASSERT_TRUE(m_forwarder.forward(lost, statement(5)));
    ASSERT_TRUE(runUntil([this] { return !m_received.empty(); }));
    m_forwarder.setHosts({ { { "pool", "north", 0.5 }, "127.0.0.1:1" } });
    EXPECT_EQ(m_lostLinks, std::vector { lost });
    EXPECT_FALSE(m_forwarder.forward(lost, statement(6)));
    ASSERT_TRUE(runUntil([this] { return !m_ended.empty(); }));
    EXPECT_EQ(m_ended[0], m_received[0].first);
}

// Guards against an operation that is executed inside the previous one of its session, which its host has
// given up.
TEST_F(ForwardingTest, NewOperationEndsPreviousOne)
{
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    m_forwarder.forward(link(), statement(5));
    m_forwarder.forward(link(), statement(5));
    ASSERT_TRUE(runUntil([this] { return m_received.size() == 2; }));
    EXPECT_EQ(m_ended, std::vector { m_received[0].first });
    EXPECT_NE(m_received[0].first, m_received[1].first);
    Proxy::Reply open;
    open.state = Proxy::TransactionState::Open;
    m_receiver->reply(m_received[1].first, open);
    ASSERT_TRUE(runUntil([this] { return !m_replies.empty(); }));
    m_forwarder.forward(link(), statement(5, true));
    ASSERT_TRUE(runUntil([this] { return m_received.size() == 3; }));
    EXPECT_EQ(m_received[1].first, m_received[2].first);
}

// Guards against statements on a host that cannot execute them yet, or is shutting down.
TEST_F(ForwardingTest, PoolHostDeclinesAndDrains)
{
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    m_isConfigured = false;
    m_forwarder.forward(link(), statement(5));
    ASSERT_TRUE(runUntil([this] { return !m_declines.empty(); }));
    EXPECT_TRUE(m_received.empty());
    EXPECT_EQ(link(), 0U);
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    m_receiver->drain();
    ASSERT_TRUE(runUntil([this] { return link() == 0; }));
}

// Guards against a process that ends, or holds memory without a bound, because of bytes that are no message.
TEST_F(ForwardingTest, ClosesConnectionWithInvalidBytes)
{
    bool isClosed = false;
    std::unique_ptr<EventLoop::TcpStream> stream;
    EventLoop::StreamHooks hooks;
    hooks.connected = [&] { stream->write("GET / HTTP/1.1\r\n\r\n"); };
    hooks.received = [](std::string_view) {};
    hooks.closed = [&] { isClosed = true; };
    stream = EventLoop::TcpStream::connect(
        m_loop, "127.0.0.1:" + std::to_string(m_receiver->port()), std::move(hooks));
    EXPECT_TRUE(runUntil([&] { return isClosed; }));
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
}

// Guards against a session whose statement is too long and that breaks the connection for all others.
TEST_F(ForwardingTest, StatementThatIsTooLongIsNotSent)
{
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    Proxy::ForwardedStatement tooLong = statement(5);
    tooLong.values.emplace("v1", std::string(maxMessageBytes, 'x'));
    EXPECT_FALSE(m_forwarder.forward(link(), tooLong));
    ASSERT_TRUE(m_forwarder.forward(link(), statement(6)));
    ASSERT_TRUE(runUntil([this] { return !m_received.empty(); }));
    EXPECT_TRUE(m_lostLinks.empty());
}

// The same for an answer.
TEST_F(ForwardingTest, AnswerThatIsTooLongBreaksNoConnection)
{
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    m_forwarder.forward(link(), statement(5));
    m_forwarder.forward(link(), statement(6));
    ASSERT_TRUE(runUntil([this] { return m_received.size() == 2; }));
    m_receiver->reply(m_received[0].first, { { std::string(maxMessageBytes, 'x') } });
    m_receiver->reply(m_received[1].first, { { "row" } });
    ASSERT_TRUE(runUntil([this] { return !m_replies.empty(); }));
    EXPECT_EQ(m_replies[0].session, 6U);
    EXPECT_TRUE(m_lostLinks.empty());
}

// Guards against a host that was paused itself and gives its connections up, whose answers it has not read.
TEST_F(ForwardingTest, OwnPauseLosesNoConnection)
{
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    // Lets a ping become due and be sent, and then the process pause.
    ASSERT_TRUE(runUntil([since = EventLoop::now()] { return EventLoop::now() - since > 1100ms; }));
    m_forwarder.update(EventLoop::now() + 5s);
    EXPECT_TRUE(m_lostLinks.empty());
}

// Guards against statements of a service that go to a host again which cannot execute them, and against those
// of other services that go elsewhere.
TEST_F(ForwardingTest, DeclinedServiceIsSentElsewhere)
{
    ASSERT_TRUE(runUntil([this] { return link() != 0; }));
    m_forwarder.forward(link(), statement(5));
    ASSERT_TRUE(runUntil([this] { return !m_received.empty(); }));
    m_receiver->decline(m_received[0].first);
    ASSERT_TRUE(runUntil([this] { return !m_declines.empty(); }));
    EXPECT_EQ(link(), 0U);
    EXPECT_NE(m_forwarder.chooseLink("archive", EventLoop::now()), 0U);
    EXPECT_TRUE(runUntil([this] { return link() != 0; }));
}
