#include "crowd.h"
#include "testcluster.h"

#include <filesystem>
#include <fstream>
#include <memory>

#include <gtest/gtest.h>

namespace {

/// Memory of the smallest machine. The process may use half of it.
constexpr int machineMb = 160;
constexpr int maxResidentKb = machineMb / 2 * 1024;
/// 400 of them are for clients.
constexpr int maxDescriptors = 1000;
constexpr int messageTimeoutMs = 2000;
/// Longest legal message, without its line end.
constexpr std::size_t maxMessage = 1024UL * 1024;

std::string message(const std::string& begin, std::size_t size)
{
    return begin + std::string(size - begin.size(), 'x') + "\r\n";
}

const std::string startup = "STARTUP strict key-1\r\n";

/// One host with the memory of the smallest machine, and crowds of clients that do not behave.
class AbusiveClients : public testing::Test {
protected:
    AbusiveClients()
        : m_cluster(1)
    {
        m_cluster.publish({ "key-1" }, 1000000);
        m_cluster.host(0).kill();
        m_cluster.setLimit("memoryMb", machineMb);
        m_cluster.setLimit("maxDescriptors", maxDescriptors);
        m_cluster.setLimit("messageTimeoutMs", messageTimeoutMs);
        m_cluster.startHost(0);
        EXPECT_TRUE(Integration::waitUntil([this] { return m_cluster.isReady(0); }));
    }

    std::unique_ptr<Crowd> crowd(int clients) const
    {
        return std::make_unique<Crowd>(m_cluster.callers(0), clients);
    }

    bool isServed() const
    {
        Client client(m_cluster.callers(0));
        return client.open("strict", "key-1").starts_with("READY")
            && isComplete(client.query("WRITE small small"));
    }

    /// The value of a line of the host's /proc/PID/status, in kB; 0 if the process has ended.
    int statusKb(const std::string& name)
    {
        std::ifstream file("/proc/" + std::to_string(m_cluster.host(0).pid()) + "/status");
        for (std::string word; file >> word;) {
            int value = 0;
            if (word == name + ":" && file >> value)
                return value;
        }
        return 0;
    }

    long openDescriptors()
    {
        const std::filesystem::directory_iterator files(
            "/proc/" + std::to_string(m_cluster.host(0).pid()) + "/fd");
        return std::distance(begin(files), end(files));
    }

    /// To be called while the crowd is connected, and again after it has left.
    void expectWithinBounds()
    {
        const int peakKb = statusKb("VmHWM");
        EXPECT_GT(peakKb, 0) << "the process has ended";
        EXPECT_LE(peakKb, maxResidentKb);
        EXPECT_LE(openDescriptors(), maxDescriptors);
    }

    void expectServed()
    {
        EXPECT_TRUE(Integration::waitUntil([this] { return isServed(); }));
        expectWithinBounds();
    }

    TestCluster m_cluster;
};

}

// Statements that wait behind a running one were held without a limit of their bytes.
TEST_F(AbusiveClients, SendLargeStatementsAhead)
{
    m_cluster.databases().setWritesWaiting(true);
    auto clients = crowd(40);
    clients->send(startup, message("QUERY id WRITE item ", maxMessage), 16);
    expectWithinBounds();
    clients.reset();
    m_cluster.databases().setWritesWaiting(false);
    expectServed();
}

// Each client that does not read may leave 4 MiB of answers, so that some dozens use up the memory.
TEST_F(AbusiveClients, DoNotReadAnswers)
{
    Client writer(m_cluster.callers(0));
    writer.open("strict", "key-1");
    ASSERT_TRUE(isComplete(writer.query("WRITE item " + std::string(maxMessage - 100, 'x'))));
    auto clients = crowd(60);
    for (int i = 0; i < 4; ++i)
        clients->send(i == 0 ? startup : "", "QUERY id READ item\r\n", 4);
    expectWithinBounds();
    clients.reset();
    expectServed();
}

// All rows of an answer were collected before the first one was passed on.
TEST_F(AbusiveClients, RequestAnswersOfManyRows)
{
    Client writer(m_cluster.callers(0));
    writer.open("strict", "key-1");
    ASSERT_TRUE(isComplete(writer.query("WRITE item " + std::string(maxMessage / 8, 'x'))));
    m_cluster.databases().setRowsPerRead(160);
    auto clients = crowd(12);
    clients->send(startup, "QUERY id READ item\r\n", 2);
    expectWithinBounds();
    clients.reset();
    m_cluster.databases().setRowsPerRead(1);
    expectServed();
}

// Incomplete messages within the limit were held for as long as the client was connected.
TEST_F(AbusiveClients, StopOneByteShort)
{
    auto clients = crowd(160);
    std::string text = startup + message("QUERY id WRITE item ", maxMessage);
    text.pop_back();
    clients->send(text);
    expectWithinBounds();
    clients.reset();
    expectServed();
}

// A message is refused as soon as it exceeds the limit, not at its end.
TEST_F(AbusiveClients, SendMessagesFarOverTheLimit)
{
    auto clients = crowd(40);
    clients->send(startup, std::string(maxMessage, 'x'), 16);
    expectWithinBounds();
    clients.reset();
    expectServed();
}

// As before, in pieces that are smaller than the read buffer, with many clients at the same time.
TEST_F(AbusiveClients, SendLargeMessagesInSmallPieces)
{
    auto clients = crowd(160);
    clients->send(startup, message("QUERY id WRITE item ", maxMessage).substr(0, maxMessage), 1, 1500);
    expectWithinBounds();
    clients.reset();
    expectServed();
}

// Clients that never complete their first message kept all places for sessions.
TEST_F(AbusiveClients, StopHalfWay)
{
    auto clients = crowd(450);
    clients->send(startup.substr(0, startup.size() / 2), {}, 0, 1);
    expectServed();
}

// Values and prepared statements of a session were kept without a limit.
TEST_F(AbusiveClients, KeepManyValuesAndPreparedStatements)
{
    auto clients = crowd(40);
    std::string statements;
    for (int i = 0; i < 100; ++i) {
        const std::string name = "name" + std::to_string(i) + " ";
        statements += message("QUERY id SET " + name, maxMessage / 32);
        statements += message("QUERY id PREPARE " + name + "READ ", maxMessage / 32);
    }
    clients->send(startup, statements, 1);
    expectWithinBounds();
    clients.reset();
    expectServed();
}

// Connections beyond the limit are closed at once, so that descriptors for upstreams and the store remain.
TEST_F(AbusiveClients, OpenManyConnections)
{
    for (int round = 0; round < 4; ++round) {
        auto clients = crowd(500);
        clients->send(startup);
        expectWithinBounds();
    }
    expectServed();
}
