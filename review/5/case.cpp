#include "../harness/client.h"
#include "../harness/deployment.h"

#include <algorithm>
#include <csignal>
#include <thread>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 2;
constexpr int rounds = 3;
constexpr std::size_t rowCount = 80;
constexpr std::size_t longRowBytes = 1'000'000;
constexpr std::size_t shortRowBytes = 1'000;
/// `memoryMb` of the site's machines.
constexpr long memoryLimitKb = 260L * 1024;
constexpr auto readyLimit = 10s;

/// Reads an item of many rows through one host. Returns whether the answer was complete.
bool readExport(Deployment& deployment, Record& record, int host, const std::string& id)
{
    Client client(deployment.front(host));
    if (!client.open(Deployment::boundedRoute, Deployment::key))
        return false;
    record.write({ "consumer sends ", id, " READ export to front-", std::to_string(host) });
    const Answer answer = client.query(id, "READ export");
    record.write({ "consumer got ", std::to_string(client.receivedBytes()), " bytes, ",
        answer.isWhole ? printable(answer.result) : "then the connection ended" });
    return answer.isWhole;
}

int run(Record& record)
{
    Deployment::Settings settings;
    settings.hosts = hosts;
    settings.statementTimeoutMs = 4000;
    Deployment deployment(settings, record);
    if (!deployment.isReady())
        return notRun;
    const std::size_t rowBytes = hasTrouble() ? longRowBytes : shortRowBytes;
    deployment.databases().setRows("export", std::vector<std::string>(rowCount, std::string(rowBytes, 'x')));
    std::vector<int> ends(hosts, 0);
    for (int round = 0; round < rounds; ++round) {
        for (int host = 0; host < hosts; ++host) {
            const std::string id = "r" + std::to_string(round) + "h" + std::to_string(host);
            readExport(deployment, record, host, id);
            const long peak = deployment.process(host).peakResidentKb();
            record.write(
                { "front-", std::to_string(host), " had ", std::to_string(peak), " kB at its peak" });
            if (peak <= memoryLimitKb)
                continue;
            ++ends[static_cast<std::size_t>(host)];
            record.write("more than memoryMb: the platform kills it and starts it again");
            deployment.process(host).kill();
            deployment.restart(host);
            if (!Integration::waitUntil([&] { return deployment.isHostReady(host); }, readyLimit))
                return notRun;
        }
    }
    const auto hostsLost = std::ranges::count_if(ends, [](int count) { return count >= rounds; });
    return hostsLost >= 2 ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const int result = run(record);
    record.write("exit " + std::to_string(result));
    return result;
}
