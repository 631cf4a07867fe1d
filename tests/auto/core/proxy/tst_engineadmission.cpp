#include "enginefixture.h"

using namespace Proxy;
using namespace std::chrono_literals;

namespace {

/// A host that cannot admit operations now, but expects that it can soon.
class AdmissionFixture : public EngineFixture {
protected:
    AdmissionFixture()
        : EngineFixture({ .schedulesStatements = true })
    {
        m_isAdmitted = false;
        m_admissionWait = Model::Duration {};
    }
};

}

// Guards against callers that use up their retries within milliseconds at a fleet that has just started,
// although they stay below their limits.
TEST_F(AdmissionFixture, OperationWaitsForAdmission)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "item data"));
    send(session, named(StatementKind::Set, "v1", "abc"));
    advance(60ms);
    EXPECT_EQ(replyCount(session), 1U);
    m_isAdmitted = true;
    advance(20ms);
    acceptConnections();
    answer(linkTo("p"));
    // The pipelined statement follows.
    EXPECT_EQ(replyCount(session), 3U);
    EXPECT_EQ(lastReply(session).code, ResultCode::Complete);
}

// Guards against an operation that waits for longer than it takes to try it on another host, and against
// pipelined statements that get no answer after a refusal.
TEST_F(AdmissionFixture, OperationIsRefusedAfterShortWait)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "item data"));
    send(session, named(StatementKind::Set, "v1", "abc"));
    for (int i = 0; i < 6; ++i)
        advance(20ms);
    EXPECT_EQ(m_replies.at(session).at(1).code, ResultCode::Busy);
    EXPECT_EQ(replyCount(session), 3U);
}

// Guards against callers beyond their limit that wait although nothing will change.
TEST_F(AdmissionFixture, OperationBeyondLimitIsRefusedAtOnce)
{
    m_admissionWait.reset();
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "item data"));
    EXPECT_EQ(lastReply(session).code, ResultCode::Busy);
}

// Guards against an operation that waits although its admission is not expected within half of its target
// latency.
TEST_F(AdmissionFixture, OperationWithLongExpectedWaitIsRefusedAtOnce)
{
    m_admissionWait = 100ms;
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "item data"));
    EXPECT_EQ(lastReply(session).code, ResultCode::Busy);
}

// Guards against operations that overtake earlier ones of their customer, and that do not count as demand.
TEST_F(AdmissionFixture, NewOperationsWaitBehindEarlierOnes)
{
    const SessionId first = open("strict");
    send(first, statement(StatementKind::Write, "item data"));
    m_isAdmitted = true;
    const SessionId second = open("strict");
    send(second, statement(StatementKind::Write, "item data"));
    EXPECT_EQ(m_demanded, 1);
    EXPECT_TRUE(m_links.empty());
    advance(20ms);
    EXPECT_FALSE(m_links.empty());
}

// Guards against a session that goes on after its caller has left.
TEST_F(AdmissionFixture, CallerLeavesWhileItWaits)
{
    const SessionId session = open("strict");
    send(session, statement(StatementKind::Write, "item data"));
    m_engine->sessionClosed(session, m_now);
    m_isAdmitted = true;
    advance(20ms);
    EXPECT_TRUE(m_links.empty());
}
