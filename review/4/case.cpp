#include "../harness/client.h"
#include "../harness/deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 2;
constexpr int sessionsPerHost = 4;
/// Operations a second of one session; all sessions together stay below the tenant's rate.
constexpr auto pause = 25ms;
constexpr std::size_t shapeBytes = 70'000;
/// `memoryMb` of the site's machines.
constexpr long memoryLimitKb = 260L * 1024;
constexpr auto duration = 105s;
constexpr auto checkPeriod = 100ms;
constexpr auto reportPeriod = 5s;

/// Prepares a statement, runs it once and closes it, again and again. With trouble, each statement has
/// another shape, as those of applications that build their statements; otherwise all have the same one.
void runStatements(Deployment& deployment, int host, int session, const std::atomic<bool>& isStopping,
    std::atomic<int>& runCount)
{
    std::string shape(shapeBytes, 'x');
    const std::string prefix = "h" + std::to_string(host) + "s" + std::to_string(session) + "-";
    int count = 0;
    while (!isStopping) {
        Client client(deployment.front(host));
        bool isOpen = client.open(Deployment::boundedRoute, Deployment::key);
        while (isOpen && !isStopping) {
            const std::string id = prefix + std::to_string(++count);
            if (hasTrouble())
                shape.replace(0, id.size(), id);
            isOpen = client.query("p" + id, "PREPARE s1 READ " + shape).isSuccess()
                && client.query("e" + id, "EXECUTE s1 paint").isWhole
                && client.query("c" + id, "CLOSE s1").isSuccess();
            ++runCount;
            std::this_thread::sleep_for(pause);
        }
        std::this_thread::sleep_for(pause);
    }
}

int run(Record& record)
{
    Deployment::Settings settings;
    settings.hosts = hosts;
    settings.databases.keepsStatements = false;
    Deployment deployment(settings, record);
    if (!deployment.isReady())
        return notRun;
    std::atomic<bool> isStopping = false;
    std::atomic<int> runCount = 0;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(hosts) * sessionsPerHost);
    for (int host = 0; host < hosts; ++host) {
        for (int session = 0; session < sessionsPerHost; ++session)
            threads.emplace_back(
                [&, host, session] { runStatements(deployment, host, session, isStopping, runCount); });
    }
    std::vector<int> ends(hosts, 0);
    const auto isFault
        = [&] { return std::ranges::count_if(ends, [](int count) { return count >= 3; }) >= 2; };
    while (record.elapsed() < duration && !isFault()) {
        std::this_thread::sleep_for(checkPeriod);
        for (int host = 0; host < hosts; ++host) {
            const long resident = deployment.process(host).residentKb();
            if (record.elapsed() % reportPeriod < checkPeriod)
                record.write({ "front-", std::to_string(host), " has ", std::to_string(resident),
                    " kB after ", std::to_string(runCount), " statements of all sessions" });
            if (resident <= memoryLimitKb)
                continue;
            ++ends[static_cast<std::size_t>(host)];
            record.write({ "front-", std::to_string(host), " has ", std::to_string(resident),
                " kB, more than memoryMb: the platform kills it and starts it again" });
            deployment.process(host).kill();
            deployment.restart(host);
        }
    }
    isStopping = true;
    for (std::thread& thread : threads)
        thread.join();
    return isFault() ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const int result = run(record);
    record.write("exit " + std::to_string(result));
    return result;
}
