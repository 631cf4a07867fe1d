#include "../admin/fakeadminhooks.h"
#include "parsleytack/run.h"

#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace Admin;
using Tool::ExitCode;

namespace {

const std::string secret = "the-secret-of-operators";

/// Exit code and output of one run of the program.
struct RunResult {
    ExitCode code;
    std::string out;
    std::string err;
};

RunResult runTool(const std::vector<std::string>& arguments, const std::string& server,
    const std::string& input = {}, const std::string& token = secret)
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const auto environment = [&](const std::string& name) -> std::optional<std::string> {
        return name == "PARSLEYTACK_SERVER" ? server : name == "PARSLEYTACK_OPERATOR_SECRET" ? token : "";
    };
    const ExitCode code = Tool::run(arguments, environment, { in, out, err });
    return { code, out.str(), err.str() };
}

class ToolTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_server = std::make_unique<AdminServer>(
            AdminServerSettings { "127.0.0.1", 0, secret }, m_adminHooks.hooks());
        ASSERT_EQ(m_server->start(), std::nullopt);
    }

    RunResult run(const std::vector<std::string>& arguments, const std::string& input = {})
    {
        return runTool(arguments, "127.0.0.1:" + std::to_string(m_server->port()), input);
    }

    // Outlives the server, whose threads call it.
    FakeAdminHooks m_adminHooks;
    std::unique_ptr<AdminServer> m_server;
};

const std::vector<std::vector<std::string>>& changeCommands()
{
    static const std::vector<std::vector<std::string>> all { { "apply", "-", "--expected", "7" },
        { "zone", "out", "z1" }, { "zone", "in", "z1" }, { "key", "grant", "acme", "k1" },
        { "key", "withdraw", "k1" } };
    return all;
}

}

// Guards against a document, version or nonce that does not reach the host unchanged, and against a repeated
// publication that does not use the nonce of the first attempt.
TEST_F(ToolTest, SendsDocumentAsGiven)
{
    const std::string document = "{\"a\": 1}\n";
    const RunResult first = run({ "apply", "-", "--expected", "7" }, document);
    EXPECT_EQ(first.code, ExitCode::Done) << first.err;
    EXPECT_EQ(first.out, "version 8 is published\n");
    EXPECT_EQ(m_adminHooks.published.document, document);
    EXPECT_EQ(m_adminHooks.published.expectedVersion, 7U);
    EXPECT_FALSE(m_adminHooks.published.isRepeat);
    const std::string nonce = m_adminHooks.published.nonce;
    run({ "apply", "-", "--expected", "7" }, document);
    EXPECT_NE(m_adminHooks.published.nonce, nonce);

    m_adminHooks.failWith(Model::ErrorCode::PublishUnknown);
    const RunResult unknown = run({ "apply", "-", "--expected", "7" }, document);
    EXPECT_EQ(unknown.code, ExitCode::OutcomeUnknown);
    EXPECT_NE(unknown.err.find("--nonce " + m_adminHooks.published.nonce), std::string::npos) << unknown.err;
    run({ "apply", "-", "--expected", "7", "--nonce", nonce }, document);
    EXPECT_TRUE(m_adminHooks.published.isRepeat);
    EXPECT_EQ(m_adminHooks.published.nonce, nonce);
}

// Guards against an exit code that a script would take for another outcome of the command.
TEST_F(ToolTest, ExitCodeMatchesOutcome)
{
    for (const auto& command : changeCommands())
        EXPECT_EQ(run(command).code, ExitCode::Done) << command[0];
    for (const Model::ErrorInfo& info : Model::errorTable()) {
        m_adminHooks.failWith(info.code);
        const ExitCode expected
            = info.outcome == Model::Outcome::Unknown ? ExitCode::OutcomeUnknown : ExitCode::Refused;
        for (const auto& command : changeCommands())
            EXPECT_EQ(run(command).code, expected) << command[0] << ' ' << info.name;
    }
    EXPECT_EQ(runTool({ "status" }, "127.0.0.1:" + std::to_string(m_server->port()), {}, "wrong").code,
        ExitCode::Refused);
}

// Guards against a change that may have taken effect and is reported as refused or not reachable: the server
// receives the request and closes the connection without a response.
TEST_F(ToolTest, ReportsUnknownOutcomeOfUnansweredChange)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ASSERT_EQ(::bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
    ASSERT_EQ(::listen(listener, 8), 0);
    ASSERT_EQ(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size), 0);
    const std::string server = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    const std::size_t requestCount = changeCommands().size() + 1;
    std::thread closer([&] {
        for (std::size_t i = 0; i < requestCount; ++i) {
            const int connection = ::accept(listener, nullptr, nullptr);
            char byte = 0;
            (void)::recv(connection, &byte, 1, 0);
            ::close(connection);
        }
    });
    for (const auto& command : changeCommands())
        EXPECT_EQ(runTool(command, server).code, ExitCode::OutcomeUnknown) << command[0];
    EXPECT_EQ(runTool({ "status" }, server).code, ExitCode::NotReachable);
    closer.join();
    ::close(listener);
    for (const auto& command : changeCommands())
        EXPECT_EQ(runTool(command, server).code, ExitCode::NotReachable) << command[0];
    // Even if the host cannot be reached, the outcome of the first attempt remains unknown.
    EXPECT_EQ(
        runTool({ "apply", "-", "--expected", "7", "--nonce", "n" }, server).code, ExitCode::OutcomeUnknown);
}

// Guards against commands that act on another object than the given one, or do not print the host's response.
TEST_F(ToolTest, PrintsResponses)
{
    EXPECT_EQ(run({ "zone", "out", "z1" }).out, "version 8 is published\n");
    EXPECT_EQ(m_adminHooks.called, "z1 out");
    EXPECT_EQ(run({ "key", "grant", "acme", "k1" }).out, "the-key\n");
    EXPECT_EQ(m_adminHooks.called, "acme k1");
    const RunResult get = run({ "get" });
    EXPECT_EQ(get.err, "version 7\n");
    EXPECT_EQ(nlohmann::json::parse(get.out), nlohmann::json::parse(R"({"zones":[{"name":"z1"}]})"));
    EXPECT_EQ(nlohmann::json::parse(run({ "get", "-o", "json" }).out)["version"], 7);
    EXPECT_NE(run({ "history" }).out.find("zone/a key/b"), std::string::npos);
    const RunResult status = run({ "status" });
    EXPECT_NE(status.out.find("db    host2  db-a     3\n"), std::string::npos) << status.out;
    EXPECT_EQ(status.out.find('\x1b'), std::string::npos);

    m_adminHooks.failWith(Model::ErrorCode::CheckFailed);
    m_adminHooks.error->faults = { { Catalog::ObjectType::Key, "k1", "hash", "is wrong" } };
    EXPECT_NE(run({ "check", "-" }).out.find("key   k1    hash   is wrong\n"), std::string::npos);
    m_adminHooks.failWith(Model::ErrorCode::VersionConflict);
    m_adminHooks.error->version = 9;
    EXPECT_NE(run({ "apply", "-", "--expected", "7" }).err.find("version 9 won"), std::string::npos);
}

// Guards against invalid arguments that are sent to a host, and against --help that fails without a server.
TEST_F(ToolTest, RejectsInvalidArgumentsAndPrintsHelp)
{
    const std::vector<std::vector<std::string>> wrong { {}, { "fly" }, { "zone" }, { "zone", "away", "z1" },
        { "zone", "out" }, { "apply", "-" }, { "apply", "--expected", "7" }, { "key", "grant", "acme" },
        { "status", "--output", "xml" }, { "status", "extra" }, { "apply", "-", "--expected", "x" },
        { "apply", "/nonexistent/file", "--expected", "7" }, { "status", "--secret-file", "/nonexistent" },
        { "status", "--timeout-ms", "0" }, { "status", "--secret", secret } };
    for (const auto& arguments : wrong)
        EXPECT_EQ(run(arguments).code, ExitCode::Usage) << testing::PrintToString(arguments);
    EXPECT_EQ(runTool({ "status" }, "").code, ExitCode::Usage);
    EXPECT_EQ(runTool({ "status" }, "127.0.0.1:1", {}, "").code, ExitCode::Usage);
    for (auto command : changeCommands()) {
        command.emplace_back("--help");
        const RunResult help = runTool(command, "");
        EXPECT_EQ(help.code, ExitCode::Done);
        EXPECT_NE(help.out.find("Usage:"), std::string::npos);
    }
    EXPECT_EQ(runTool({ "--help" }, "").code, ExitCode::Done);
}

// Guards against a secret file whose line ending becomes part of the secret.
TEST_F(ToolTest, ReadsFirstLineOfSecretFile)
{
    const std::string path = testing::TempDir() + "/parsleytack-secret-" + std::to_string(::getpid());
    std::ofstream(path) << secret << "\r\nsecond line\n";
    const std::string server = "127.0.0.1:" + std::to_string(m_server->port());
    EXPECT_EQ(runTool({ "status", "--secret-file", path }, server, {}, "wrong").code, ExitCode::Done);
    ::unlink(path.c_str());
}
