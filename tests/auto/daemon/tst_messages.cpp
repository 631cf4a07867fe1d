#include "daemon/clock.h"
#include "daemon/drawmessages.h"
#include "daemon/forwardmessages.h"
#include "daemon/gossipmessages.h"
#include "wire/peer.pb.h"

#include <gtest/gtest.h>

using namespace Daemon;
using namespace std::chrono_literals;

// Guards against a field of a forwarded request, or the error of its answer, that is lost between two hosts.
TEST(ForwardMessages, RoundTripKeepsFieldsAndError)
{
    const Model::Time now = steadyNow();
    GroupRequest request;
    request.operation = Gateway::Operation::Commit;
    request.service = "register";
    request.customer = "acme";
    request.keyName = "acme-1";
    request.requestId = "acme/5-a";
    request.sessionPosition = { 3, 7 };
    request.deadline = now + 250ms;
    const auto read = fromMessage(toMessage(request, now), now);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->operation, request.operation);
    EXPECT_EQ(read->requestId, request.requestId);
    EXPECT_EQ(read->sessionPosition, request.sessionPosition);
    EXPECT_EQ(read->deadline, request.deadline);
    EXPECT_FALSE(read->maxAge);
    const GroupAnswer answer
        = fromMessage(toMessage(errorAnswer(Model::ErrorCode::StatementFailed, "no table")));
    EXPECT_EQ(answer.error->code, Model::ErrorCode::StatementFailed);
    EXPECT_EQ(answer.error->message, "no table");
}

// Guards against a peer message whose time-out or maximum age overflows, or whose unknown operation runs as
// another one.
TEST(ForwardMessages, RejectsValuesOutOfRange)
{
    const Model::Time now = steadyNow();
    Wire::ForwardRequest message;
    EXPECT_FALSE(fromMessage(message, now));
    message.set_service("register");
    EXPECT_TRUE(fromMessage(message, now));
    message.set_timeout_ms(UINT64_MAX);
    EXPECT_FALSE(fromMessage(message, now));
    message.set_timeout_ms(1);
    message.set_max_age_ms(UINT64_MAX);
    EXPECT_FALSE(fromMessage(message, now));
    message.set_max_age_ms(1);
    message.set_operation(static_cast<Wire::Operation>(99));
    EXPECT_FALSE(fromMessage(message, now));
}

// Guards against a slot holder that counts a grant for a shorter time than the entry host may spend it,
// because the validity in the message is missing or exceeds the maximum.
TEST(DrawMessages, KeepsValidityAndUsesMaximumIfAbsentOrTooLarge)
{
    Quota::DrawRequest request { 1, { { "acme", 5, std::chrono::milliseconds(200), {} } } };
    EXPECT_EQ(fromMessage(toMessage(request))->draws[0].validity, std::chrono::milliseconds(200));
    Wire::DrawRequest message;
    message.add_draws();
    EXPECT_EQ(fromMessage(message)->draws[0].validity, Quota::maxGrantValidity);
    message.mutable_draws(0)->set_validity_us(UINT64_MAX);
    EXPECT_EQ(fromMessage(message)->draws[0].validity, Quota::maxGrantValidity);
}

// Guards against amounts close to the largest integer, which overflow and so create tokens.
TEST(DrawMessages, RejectsAmountsOutOfRange)
{
    Wire::DrawRequest request;
    Wire::Draw* draw = request.add_draws();
    draw->set_wanted(UINT64_MAX);
    EXPECT_FALSE(fromMessage(request));
    draw->set_wanted(5);
    EXPECT_TRUE(fromMessage(request));
    draw->add_reports()->set_returned(UINT64_MAX);
    EXPECT_FALSE(fromMessage(request));
    Wire::DrawReply reply;
    reply.add_grants()->set_granted(UINT64_MAX);
    EXPECT_FALSE(fromMessage(reply));
}

// Guards against a peer message without gossip, or with values of the wrong size or range, that is taken as
// gossip.
TEST(GossipMessages, RejectsMalformedBodies)
{
    Wire::Envelope envelope;
    EXPECT_FALSE(toGossip(envelope));
    Wire::Gossip* gossip = envelope.mutable_ping()->mutable_gossip();
    EXPECT_TRUE(toGossip(envelope));
    gossip->mutable_round()->set_hosts("short");
    EXPECT_FALSE(toGossip(envelope));
    gossip->clear_round();
    gossip->add_updates()->set_state(static_cast<Wire::MemberState>(9));
    EXPECT_FALSE(toGossip(envelope));
}
