// Review case 11: an acknowledged commit of a service with a synchronous replica is not in the log of the
// database that is promoted.

#include "../standins-3/client.h"
#include "../standins-3/databasegroup.h"
#include "../standins-3/machines.h"
#include "../standins-3/platform.h"
#include "../standins-3/record.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int machineCount = 9;
/// 4 of 9 machines: a share of 0.44.
const std::set<int> cutMachines { 0, 1, 2, 3 };
constexpr int writersMachine = 8;
constexpr auto readPause = 50ms;
constexpr auto writePause = 3s;
constexpr auto deafFor = 6500ms;
constexpr auto cutFor = 5s;
constexpr int calmWrites = 2;
constexpr int writes = 8;

enum ExitCode { Held = 0, Broken = 1, NotRun = 2 };

void publish(Review::Platform& platform)
{
    const nlohmann::json route { { "name", "orders" }, { "host", "ledger" }, { "service", "bindery-ledger" },
        { "routeKind", "primary" }, { "maxStalenessMs", 0 }, { "timeoutMs", 800 }, { "targetLatencyMs", 100 },
        { "priority", 1 }, { "allowAnonymous", false } };
    const nlohmann::json service { { "name", "bindery-ledger" }, { "maxConns", 34 }, { "syncReplicas", 1 } };
    const nlohmann::json tenant { { "name", "hall" }, { "apiKeys", { "key-1" } }, { "ratePerS", 1000 },
        { "burst", 1000 } };
    const nlohmann::json config { { "version", 1 }, { "routes", { route } }, { "services", { service } },
        { "tenants", { tenant } }, { "limits", { { "txIdleMs", 3000 } } } };
    platform.set("op", "config", config.dump());
}

void readOften(std::uint16_t port, const std::atomic<bool>& isOver, Review::Record& record)
{
    Review::Client client;
    for (int i = 0; !isOver; ++i) {
        if (!client.isOpen())
            client.open(port, "ledger", "key-1");
        const std::string id = "read-" + std::to_string(port) + "-" + std::to_string(i);
        const auto answer = client.query(id, "READ order");
        if (!Review::isSuccess(answer))
            record.write("reader " + id + ": " + Review::textOf(answer));
        std::this_thread::sleep_for(readPause);
    }
}

/// Writes once a second and returns the data of the writes that were acknowledged. `afterWrite` is called
/// after each one.
std::vector<std::string> writeSlowly(
    std::uint16_t port, Review::Record& record, const std::function<void(int)>& afterWrite)
{
    std::vector<std::string> acknowledged;
    Review::Client client;
    for (int i = 0; i < writes; ++i) {
        const auto next = Clock::now() + writePause;
        if (!client.isOpen())
            client.open(port, "ledger", "key-1");
        const std::string data = "order-" + std::to_string(i);
        record.write("consumer sends " + data);
        const auto answer = client.query("write-" + std::to_string(i), "WRITE order " + data);
        record.write("consumer gets for " + data + ": " + Review::textOf(answer));
        if (Review::isSuccess(answer))
            acknowledged.push_back(data);
        afterWrite(i);
        std::this_thread::sleep_until(next);
    }
    return acknowledged;
}

/// Ends the machines and the process. The threads of the stand-ins run until then, with what `run` owns.
[[noreturn]] void end(std::unique_ptr<Review::Machines>& machines, ExitCode result)
{
    machines.reset();
    std::cout << (result == Broken ? "broken" : result == Held ? "held" : "could not run") << std::endl;
    std::_Exit(result);
}

[[noreturn]] void run(const std::string& recordFile, bool hasTrouble)
{
    Review::Record record(recordFile);
    std::unique_ptr<Review::DatabaseGroup> group;
    std::unique_ptr<Review::Machines> machines;
    std::atomic<Review::Machines*> started = nullptr;
    auto* platform = new Review::Platform([&](const Review::PromoteCall& call) {
        record.write(call.holder + " requests with token " + std::to_string(call.token) + " that " + call.id
            + " is promoted");
        return group->promote(call.id);
    });
    Review::DatabaseGroup::Hooks hooks;
    hooks.changed = [&](const std::string& id, const std::string& address, bool isPrimary, int) {
        const nlohmann::json entry { { "service", "bindery-ledger" }, { "address", address },
            { "zone", "furano" }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" },
            { "coldLeftMs", 0 }, { "seq", 1 }, { "born", 1000 },
            { "dbRole", isPrimary ? "primary" : "replica" } };
        platform->set("servers", id, entry.dump());
    };
    hooks.machineOf = [&](std::uint16_t port) {
        const Review::Machines* all = started;
        return all ? all->machineOf(port) : -1;
    };
    group = std::make_unique<Review::DatabaseGroup>(
        Review::GroupSettings { "bindery-ledger", 3, 1, 60ms, 1000ms }, hooks, record);
    group->registerAll();
    publish(*platform);
    Review::MachineSettings settings;
    settings.platform = platform->port();
    settings.zones = { "asahi-north", "asahi-east", "furano" };
    machines = std::make_unique<Review::Machines>(settings, machineCount);
    started = machines.get();
    if (!machines->awaitReady())
        end(machines, NotRun);
    std::this_thread::sleep_for(2s);

    std::atomic<bool> isOver = false;
    std::vector<std::thread> threads;
    threads.reserve(cutMachines.size() + 1);
    for (const int machine : cutMachines)
        threads.emplace_back([&, port = machines->at(machine).callers] { readOften(port, isOver, record); });
    const auto afterWrite = [&](int i) {
        if (!hasTrouble || i != calmWrites)
            return;
        threads.emplace_back([&] {
            std::this_thread::sleep_for(1500ms);
            record.write("i-1 receives nothing; i-0 is partitioned from 4 of 9 machines");
            group->setDeaf(1, true);
            group->setCut(0, cutMachines);
            std::this_thread::sleep_for(cutFor);
            group->setCut(0, {});
            std::this_thread::sleep_for(deafFor - cutFor);
            group->setDeaf(1, false);
            record.write("i-1 receives again, the partition has ended");
        });
    };
    const auto acknowledged = writeSlowly(machines->at(writersMachine).callers, record, afterWrite);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();

    record.write("the primary is " + Review::DatabaseGroup::idOf(group->primary()));
    ExitCode result = acknowledged.size() <= calmWrites ? NotRun : Held;
    for (const std::string& data : acknowledged) {
        if (group->primaryHas(data))
            continue;
        record.write("LOST: " + data + " was acknowledged and is not in the log of the primary");
        result = Broken;
    }
    record.write(std::to_string(acknowledged.size()) + " of " + std::to_string(writes)
        + " writes acknowledged, " + std::to_string(group->promotions()) + " promotions, exit "
        + std::to_string(result));
    started = nullptr;
    end(machines, result);
}

}

int main(int argc, char** argv)
{
    if (argc != 2)
        return NotRun;
    const char* trouble = std::getenv("TROUBLE");
    run(argv[1], !trouble || std::string(trouble) != "0");
}
