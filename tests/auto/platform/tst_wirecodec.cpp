#include "platform/wirecodec.h"

#include <vector>

#include <gtest/gtest.h>

using namespace Proxy;
using namespace SessionServer;

namespace {

const Codec codec = Adapter::wireCodec();

std::string encoded(const Command& command)
{
    std::string out;
    codec.encodeCommand(out, command);
    return out;
}

/// The line that an upstream receives for a caller's line.
std::string forwarded(const std::string& line)
{
    const CallerMessage message = codec.parseCaller(line);
    EXPECT_EQ(message.kind, CallerMessageKind::Statement) << line;
    return encoded({ CommandKind::Statement, message.statement });
}

}

// Guards against a statement that reaches the upstream with another id or text.
TEST(WireCodec, PassesStatementsUnchanged)
{
    for (const std::string& line :
        std::vector<std::string> { "QUERY 5c0e READ 1a4", "QUERY 5c0e WRITE 1a4 some data  with blanks ",
            "QUERY 5c0e COMMIT", "QUERY 5c0e EXECUTE s1 1a4 xkqp", "QUERY 5c0e EXECUTE s1" })
        EXPECT_EQ(forwarded(line), line + "\r\n");
}

// Guards against running an invalid line as another statement than the caller meant, and against callers that
// send commands which only the proxy may send.
TEST(WireCodec, ClassifiesInvalidStatementsAsMalformed)
{
    for (const std::string& line : std::vector<std::string> { "QUERY 5c0e DROP x", "QUERY 5c0e BEGIN WRITE",
             "QUERY 5c0e READ", "QUERY 5c0e COMMIT now", "QUERY 5c0e PREPARE s1 DELETE q", "QUERY 5c0e SET",
             "QUERY 5c0e", "QUERY 5c0e AFTERLSN 1.2 READ x", "QUERY 5c0e STEPDOWN 9", "QUERY 5c0e read x" }) {
        const CallerMessage message = codec.parseCaller(line);
        EXPECT_EQ(message.kind, CallerMessageKind::Statement) << line;
        EXPECT_EQ(message.statement.kind, StatementKind::Malformed) << line;
    }
    for (const std::string& line :
        std::vector<std::string> { "", "QUERY", "QUERY ", "GET / HTTP/1.1", "STARTUP", "startup a b" })
        EXPECT_EQ(codec.parseCaller(line).kind, CallerMessageKind::Invalid) << line;
}

// Guards against sessions that are opened for the wrong database or with the wrong key.
TEST(WireCodec, ParsesStartAndEndOfSession)
{
    const CallerMessage message = codec.parseCaller("STARTUP lepu270 u3f1");
    EXPECT_EQ(message.kind, CallerMessageKind::Open);
    EXPECT_EQ(message.database, "lepu270");
    EXPECT_EQ(message.key, "u3f1");
    EXPECT_EQ(codec.parseCaller("STARTUP lepu270").key, "");
    EXPECT_EQ(codec.parseCaller("TERMINATE").kind, CallerMessageKind::Close);
}

// Guards against a key that reaches an upstream, and against an empty customer name for a caller without a
// key.
TEST(WireCodec, SendsCustomerInsteadOfKeyToUpstream)
{
    Directory::Upstream upstream;
    upstream.id = "i-7f3a";
    upstream.service = "huvo11a";
    std::string out;
    codec.encodeOpen(out, upstream, "nypu920");
    codec.encodeOpen(out, upstream, "");
    EXPECT_EQ(out, "STARTUP huvo11a nypu920 i-7f3a\r\nSTARTUP huvo11a - i-7f3a\r\n");
}

// Guards against commands of the proxy that carry the id of a caller's statement.
TEST(WireCodec, EncodesOwnCommandsWithReservedId)
{
    EXPECT_EQ(encoded({ CommandKind::Begin }), "QUERY - BEGIN\r\n");
    EXPECT_EQ(encoded({ CommandKind::BeginReadOnly, {}, Model::LogPosition { 3, 17 } }),
        "QUERY - AFTERLSN 3.17 BEGIN READ\r\n");
    EXPECT_EQ(encoded({ CommandKind::Rollback }), "QUERY - ROLLBACK\r\n");
    EXPECT_EQ(encoded({ CommandKind::Reset }), "QUERY - RESET\r\n");
    EXPECT_EQ(encoded({ CommandKind::Status }), "QUERY - STATUS\r\n");
    EXPECT_EQ(encoded({ CommandKind::StepDown, {}, {}, 4 }), "QUERY - STEPDOWN 4\r\n");
    EXPECT_EQ(encoded({ CommandKind::Pause, {}, {}, 5 }), "QUERY - PAUSE 5\r\n");
    EXPECT_EQ(encoded({ CommandKind::Resume }), "QUERY - RESUME\r\n");
    Command prepare { CommandKind::Prepare };
    prepare.statement.kind = StatementKind::Prepare;
    prepare.statement.name = "p1";
    prepare.statement.prepared = PreparedKind::Write;
    prepare.statement.argument = "q2c";
    EXPECT_EQ(encoded(prepare), "QUERY - PREPARE p1 WRITE q2c\r\n");
}

// Guards against misreading the state, position, result code or text of a message.
TEST(WireCodec, ParsesUpstreamMessages)
{
    UpstreamMessage message = codec.parseUpstream("READY E 3.1209");
    EXPECT_EQ(message.kind, UpstreamMessageKind::Ready);
    EXPECT_EQ(message.state, TransactionState::Failed);
    EXPECT_EQ(message.position, (Model::LogPosition { 3, 1209 }));
    EXPECT_EQ(codec.parseUpstream("READY I -").position, Model::LogPosition {});
    EXPECT_EQ(codec.parseUpstream("ERROR LAGGING i-7f3a").code, ResultCode::Lagging);
    EXPECT_EQ(codec.parseUpstream("ERROR SOMETHING new").code, ResultCode::Failed);
    EXPECT_EQ(codec.parseUpstream("COMPLETE 7.1f3.c").text, "7.1f3.c");
    EXPECT_EQ(codec.parseUpstream("COMPLETE -").text, "");
    EXPECT_EQ(codec.parseUpstream("DATAROW a b").text, "a b");
    for (const std::string& line :
        std::vector<std::string> { "READY", "READY X 1.2", "READY I 1", "READY I x.y", "HELLO", "" })
        EXPECT_EQ(codec.parseUpstream(line).kind, UpstreamMessageKind::Invalid) << line;
}

// Guards against a promotion that relies on a status row which cannot be parsed.
TEST(WireCodec, ParsesStatusRow)
{
    const auto status = codec.parseStatus("replica 3 3.1209 0 12 2 17");
    ASSERT_TRUE(status);
    EXPECT_EQ(status->role, Directory::Role::Replica);
    EXPECT_EQ(status->term, 3U);
    EXPECT_EQ(status->received, (Model::LogPosition { 3, 1209 }));
    EXPECT_EQ(status->pausedTerm, 0U);
    EXPECT_EQ(codec.parseStatus("replica 3 3.1209 4 12 2 17")->pausedTerm, 4U);
    EXPECT_EQ(codec.parseStatus("replica 3 3.1209 -")->pausedTerm, 0U);
    EXPECT_FALSE(codec.parseStatus("observer 3 3.1209"));
    EXPECT_FALSE(codec.parseStatus("replica x 3.1209"));
    EXPECT_FALSE(codec.parseStatus(""));
}

// Guards against a success reply without the upstream's receipt, and an error reply that reads as a success.
TEST(WireCodec, EncodesReplies)
{
    Reply reply;
    reply.rows = { "row" };
    reply.text = "receipt";
    reply.position = { 2, 5 };
    std::string out;
    codec.encodeReply(out, reply);
    EXPECT_EQ(out, "DATAROW row\r\nCOMPLETE receipt\r\nREADY I 2.5\r\n");
    out.clear();
    reply.code = ResultCode::InDoubt;
    reply.text = "lost";
    reply.state = TransactionState::Failed;
    codec.encodeReply(out, reply);
    EXPECT_EQ(out, "ERROR INDOUBT lost\r\nREADY E 2.5\r\n");
}
