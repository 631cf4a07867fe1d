#include "crowd.h"
#include "testcluster.h"

#include <fstream>

#include <gtest/gtest.h>

namespace {

/// Half of the memory of the smallest machine.
constexpr int maxResidentKb = 80 * 1024;

int peakResidentKb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string word; file >> word;) {
        int value = 0;
        if (word == "VmHWM:" && file >> value)
            return value;
    }
    return 0;
}

void expectServed(TestCluster& cluster)
{
    const int peakKb = peakResidentKb(cluster.host(0).pid());
    EXPECT_GT(peakKb, 0) << "the process has ended";
    EXPECT_LE(peakKb, maxResidentKb);
    EXPECT_TRUE(cluster.isReady(0));
    Client client(cluster.callers(0));
    EXPECT_TRUE(client.open("strict", "key-1").starts_with("READY"));
    EXPECT_TRUE(isComplete(client.query("WRITE small small")));
}

/// What a subscriber of the port between hosts sends first (ZMTP 3.0, no security).
std::string subscriberGreeting()
{
    std::string text = "\xff" + std::string(8, '\0') + "\x7f\x03" + std::string(1, '\0') + "NULL";
    text.resize(64);
    std::string ready = "\x05READY\x0bSocket-Type";
    ready += std::string(3, '\0') + "\x03SUB";
    return text + '\x04' + static_cast<char>(ready.size()) + ready;
}

}

// The HTTP library collected the body of any request to the probe in memory.
TEST(OtherPorts, ProbeKeepsNoBodies)
{
    TestCluster cluster(1);
    Crowd clients(cluster.probe(0), 20);
    clients.send("POST /ready HTTP/1.1\r\nHost: test\r\nContent-Length: 67108864\r\n\r\n",
        std::string(1024UL * 1024, 'x'), 16);
    expectServed(cluster);
}

// A subscriber could announce a message of any length, for which memory was reserved and filled.
TEST(OtherPorts, PeerPortRefusesLongMessages)
{
    TestCluster cluster(1);
    Crowd clients(cluster.peers(0), 20);
    const std::string longMessage = std::string("\x02\0\0\0\0\x20\0\0\0", 9);
    clients.send(subscriberGreeting() + longMessage, std::string(1024UL * 1024, 'x'), 16);
    expectServed(cluster);
}
