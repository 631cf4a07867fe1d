#include "caller.h"
#include "faults.h"
#include "process.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

#include <tclap/CmdLine.h>

using namespace Soak;
using namespace std::chrono_literals;

namespace {

constexpr double customerRate = 400;
/// Time within which each host must serve again, and reject a withdrawn key, after all faults have ended.
constexpr auto recoveryLimit = 12s;
/// Time for delayed links to deliver the data that they still hold.
constexpr auto linkDeliveryTime = 1500ms;
constexpr auto updateInterval = 20ms;

void checkRecovery(TestCluster& cluster, int hosts, History& history)
{
    for (int host = 0; host < hosts; ++host) {
        int tries = 0;
        const bool isServing = Integration::waitUntil(
            [&] {
                Client client(cluster.callers(host));
                return cluster.isReady(host) && client.open("strict", "key-1").starts_with("READY")
                    && isComplete(client.query(
                        "WRITE recovery r" + std::to_string(host) + "x" + std::to_string(++tries)));
            },
            recoveryLimit);
        if (!isServing)
            history.addViolation(
                "host-" + std::to_string(host) + " did not serve in time after the faults ended");
    }
}

void checkWithdrawnKey(TestCluster& cluster, int hosts, History& history)
{
    cluster.publish({ "key-1" }, customerRate);
    for (int host = 0; host < hosts; ++host) {
        const bool isRefused = Integration::waitUntil(
            [&] {
                Client client(cluster.callers(host));
                return client.open("strict", "key-2").starts_with("ERROR NOAUTH");
            },
            recoveryLimit);
        if (!isRefused)
            history.addViolation("host-" + std::to_string(host) + " still accepts a withdrawn key");
    }
}

struct Options {
    std::uint64_t seed = 1;
    int hosts = 0;
    int callers = 0;
    std::chrono::seconds duration {};
    /// Routes of the configuration besides those that the callers use.
    int furtherRoutes = 0;
    /// Delay of each part of a message to and from the store.
    std::chrono::milliseconds storeDelay {};
    /// The hosts forward statements, schedule them and balance the upstreams.
    bool hasOverloadFeatures = false;
};

int runSoak(const Options& options)
{
    const auto [seed, hosts, callers, duration, furtherRoutes, storeDelay, hasOverloadFeatures] = options;
    History history;
    TestCluster cluster(hosts, TestCluster::Path::Links, TestCluster::Fencing::Promoter,
        { { "toleratedZoneLosses", hasOverloadFeatures ? 0 : 1 } });
    for (int host = 0; host < hosts; ++host)
        cluster.storeLink(host).configure({ { "delayMs", storeDelay.count() } });
    cluster.setFurtherRoutes(furtherRoutes);
    cluster.publish({ "key-1", "key-2" }, customerRate);
    Faults faults(cluster, hosts, seed, history);
    std::atomic<bool> isStopping = false;
    std::vector<std::unique_ptr<Caller>> clients;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        clients.push_back(std::make_unique<Caller>(cluster, hosts, i, seed, history));
        threads.emplace_back([&isStopping, client = clients.back().get()] { client->run(isStopping); });
    }
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
        faults.update(std::chrono::steady_clock::now());
        std::this_thread::sleep_for(updateInterval);
    }
    faults.undoAll();
    checkRecovery(cluster, hosts, history);
    isStopping = true;
    for (std::thread& thread : threads)
        thread.join();
    checkWithdrawnKey(cluster, hosts, history);
    std::this_thread::sleep_for(linkDeliveryTime);
    history.checkWrites(cluster.databases());
    history.checkRate(customerRate, customerRate);
    const auto violations = history.violations();
    std::printf("seed %llu: %s; %zu faults, %zu violated guarantees\n", static_cast<unsigned long long>(seed),
        history.summary().c_str(), faults.log().size(), violations.size());
    if (violations.empty())
        return 0;
    for (const std::string& line : faults.log())
        std::printf("  %s\n", line.c_str());
    for (const std::string& text : violations)
        std::printf("VIOLATION: %s\n", text.c_str());
    for (int host = 0; host < hosts; ++host)
        std::printf("log of host-%d: %s\n", host, cluster.host(host).logFile().c_str());
    return 1;
}

}

int main(int argc, char** argv)
{
    TCLAP::CmdLine command(
        "Runs hosts as processes, injects faults chosen by a seed, and checks the guarantees of the proxy");
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "seed of the random choice of faults and requests", false, 1, "N", command);
    TCLAP::ValueArg<int> hosts("", "hosts", "number of hosts", false, 3, "N", command);
    TCLAP::ValueArg<int> callers("", "callers", "number of callers", false, 8, "N", command);
    TCLAP::ValueArg<int> seconds(
        "", "seconds", "time in which faults are injected, in seconds", false, 10, "N", command);
    TCLAP::ValueArg<int> routes(
        "", "routes", "routes of the configuration besides those that are used", false, 0, "N", command);
    TCLAP::ValueArg<int> storeDelay(
        "", "store-delay", "delay of the links to the store, in milliseconds", false, 0, "MS", command);
    TCLAP::SwitchArg overload("", "overload-features",
        "the hosts forward statements, schedule them and balance the upstreams", command);
    command.parse(argc, argv);
    if (hosts.getValue() < 1 || callers.getValue() < 1 || seconds.getValue() < 1) {
        std::fprintf(stderr, "soak: --hosts, --callers and --seconds must be at least 1\n");
        return 2;
    }
    if (routes.getValue() < 0 || storeDelay.getValue() < 0) {
        std::fprintf(stderr, "soak: --routes and --store-delay must not be negative\n");
        return 2;
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const int result = runSoak(
        { seed.getValue(), hosts.getValue(), callers.getValue(), std::chrono::seconds(seconds.getValue()),
            routes.getValue(), std::chrono::milliseconds(storeDelay.getValue()), overload.getValue() });
    // The detached threads of the links still run: exit without destroying static objects.
    std::_Exit(result);
}
