// Review case 12: a promotion that could not be recorded is forgotten, and the next one brings back commits
// that the reads between the two did not have.

#include "../standins-3/client.h"
#include "../standins-3/databasegroup.h"
#include "../standins-3/machines.h"
#include "../standins-3/platform.h"
#include "../standins-3/record.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int machineCount = 9;
constexpr auto heartbeat = 1200ms;
constexpr auto calmTime = 4s;
constexpr auto requestPause = 50ms;
constexpr auto deafFor = 6s;
constexpr auto deafBefore = 1s;
constexpr auto primaryDownFor = 3s;
/// From the request of the promotion.
constexpr auto storeSilentFor = 2800ms;
constexpr auto darkAfter = 2300ms;
constexpr auto darkFor = 7s;
/// Three ping intervals of silence.
constexpr auto entryLifetime = 3 * heartbeat;
constexpr auto promotionLimit = 15s;
constexpr auto timeAfter = 20s;

enum ExitCode { Held = 0, Broken = 1, NotRun = 2 };

void publish(Review::Platform& platform)
{
    const nlohmann::json route { { "name", "decisions" }, { "host", "register" },
        { "service", "approval-register" }, { "routeKind", "primary" }, { "maxStalenessMs", 0 },
        { "timeoutMs", 800 }, { "targetLatencyMs", 120 }, { "priority", 1 }, { "allowAnonymous", false } };
    const nlohmann::json service { { "name", "approval-register" }, { "maxConns", 16 },
        { "syncReplicas", 0 } };
    const nlohmann::json tenant { { "name", "maker" }, { "apiKeys", { "key-1" } }, { "ratePerS", 1000 },
        { "burst", 1000 } };
    const nlohmann::json config { { "version", 1 }, { "routes", { route } }, { "services", { service } },
        { "tenants", { tenant } }, { "limits", { { "txIdleMs", 3000 } } } };
    platform.set("op", "config", config.dump());
}

/// Writes the entries of databases into the store as they do. Thread-safe.
class Entries {
public:
    explicit Entries(Review::Platform& platform)
        : m_platform(platform)
    {
    }

    void changed(const std::string& id, const std::string& address, bool isPrimary, int incarnation)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const std::int64_t time = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        const auto [process, isNew]
            = m_processes.try_emplace(std::pair(id, incarnation), std::pair(time, std::int64_t { 0 }));
        auto& [born, sequence] = process->second;
        const nlohmann::json entry { { "service", "approval-register" }, { "address", address },
            { "zone", "petaling" }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" },
            { "coldLeftMs", 0 }, { "seq", ++sequence }, { "born", born },
            { "dbRole", isPrimary ? "primary" : "replica" } };
        m_platform.set("servers", id, entry.dump());
    }

private:
    Review::Platform& m_platform;
    std::mutex m_mutex;
    /// Start and sequence of each incarnation.
    std::map<std::pair<std::string, int>, std::pair<std::int64_t, std::int64_t>> m_processes;
};

/// A write that was acknowledged.
struct Acknowledged {
    std::string data;
    Clock::time_point at;
};

/// A read that succeeded.
struct Read {
    std::string id;
    std::string data;
    Clock::time_point sentAt;
};

/// Writes one entry after the other while `isWriting`.
std::vector<Acknowledged> write(
    std::uint16_t port, const std::atomic<bool>& isWriting, Review::Record& record)
{
    std::vector<Acknowledged> result;
    Review::Client client;
    for (int i = 0; isWriting; ++i) {
        if (!client.isOpen())
            client.open(port, "register", "key-1");
        const std::string data = "approval-" + std::to_string(i);
        const auto answer = client.query("write-" + std::to_string(i), "WRITE approval " + data);
        record.write("consumer gets for " + data + ": " + Review::textOf(answer));
        if (Review::isSuccess(answer))
            result.push_back({ data, Clock::now() });
        std::this_thread::sleep_for(requestPause);
    }
    return result;
}

std::vector<Read> read(std::uint16_t port, const std::atomic<bool>& isOver, Review::Record& record)
{
    std::vector<Read> result;
    Review::Client client;
    for (int i = 0; !isOver; ++i) {
        if (!client.isOpen())
            client.open(port, "register", "key-1");
        const std::string id = "read-" + std::to_string(port) + "-" + std::to_string(i);
        const auto sentAt = Clock::now();
        const auto answer = client.query(id, "READ approval");
        record.write(id + " gets: " + Review::textOf(answer));
        constexpr std::string_view row = "DATAROW ";
        if (Review::isSuccess(answer) && answer.front().starts_with(row))
            result.push_back({ id, answer.front().substr(row.size()), sentAt });
        std::this_thread::sleep_for(requestPause);
    }
    return result;
}

/// Waits until another database than `database` leads.
bool awaitPromotion(Review::DatabaseGroup& group, int database)
{
    const auto limit = Clock::now() + promotionLimit;
    while (group.primary() == database && Clock::now() < limit)
        std::this_thread::sleep_for(10ms);
    return group.primary() != database;
}

/// The store falls silent with the first request of a promotion, see `run`.
bool disturb(Review::DatabaseGroup& group, Review::Platform& platform, Review::Record& record,
    std::atomic<bool>& isWriting, const std::atomic<Clock::time_point>& requestedAt)
{
    const auto start = Clock::now();
    record.write("i-1 and i-2 receive nothing");
    group.setDeaf(1, true);
    group.setDeaf(2, true);
    std::this_thread::sleep_for(deafBefore);
    group.crash(0);
    record.write("i-0, the primary, crashes with " + group.logEnd(0) + "; i-1 has " + group.logEnd(1));
    isWriting = false;
    const auto crash = Clock::now();
    std::thread([&group, &record, crash] {
        std::this_thread::sleep_until(crash + primaryDownFor);
        group.restartAs(0, "i-0b");
        record.write("i-0 is back with its log, as i-0b");
    }).detach();
    if (!awaitPromotion(group, 0))
        return false;
    const int promoted = group.primary();
    std::this_thread::sleep_until(requestedAt.load() + darkAfter);
    group.setDark(promoted, true);
    const auto dark = Clock::now();
    record.write(Review::DatabaseGroup::idOf(promoted) + " goes dark");
    std::thread([&group, &record, promoted, dark] {
        std::this_thread::sleep_until(dark + darkFor);
        group.setDark(promoted, false);
        record.write(Review::DatabaseGroup::idOf(promoted) + " is reached again");
    }).detach();
    // The store hears nothing more of them after it is back.
    std::thread([&platform, &record, promoted,
                    expired = requestedAt.load() + storeSilentFor + entryLifetime] {
        std::this_thread::sleep_until(expired);
        platform.remove("servers", Review::DatabaseGroup::idOf(0));
        platform.remove("servers", Review::DatabaseGroup::idOf(promoted));
        record.write("the entries of i-0 and " + Review::DatabaseGroup::idOf(promoted) + " are removed");
    }).detach();
    std::this_thread::sleep_until(start + deafFor);
    group.setDeaf(1, false);
    group.setDeaf(2, false);
    record.write("i-1 and i-2 receive again");
    return true;
}

/// Counts the reads that lack a commit which was acknowledged before they were sent and is in force at the
/// end.
int countStale(const std::vector<Read>& reads, const std::vector<Acknowledged>& writes,
    Review::DatabaseGroup& group, Review::Record& record)
{
    int stale = 0;
    for (const Read& read : reads) {
        // The writer is the only one, so that the data of a read tells what its log had.
        const auto found = std::ranges::find(writes, read.data, &Acknowledged::data);
        const auto next = found == writes.end() ? writes.begin() : found + 1;
        for (auto lacked = next; lacked != writes.end() && lacked->at < read.sentAt; ++lacked) {
            if (!group.primaryHas(lacked->data))
                continue;
            ++stale;
            record.write("STALE: " + read.id + " got " + read.data + " after " + lacked->data
                + " had been acknowledged, which is in force");
            break;
        }
    }
    return stale;
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
    Review::Platform* platform = nullptr;
    std::atomic<Clock::time_point> requestedAt = Clock::time_point {};
    platform = new Review::Platform([&](const Review::PromoteCall& call) {
        record.write(call.holder + " requests with token " + std::to_string(call.token) + " that " + call.id
            + " is promoted");
        if (requestedAt.load() == Clock::time_point {}) {
            requestedAt = Clock::now();
            platform->setStoreSilent(true);
            record.write("the store falls silent");
            std::thread([platform, &record] {
                std::this_thread::sleep_for(storeSilentFor);
                platform->setStoreSilent(false);
                record.write("the store answers again");
            }).detach();
        }
        return group->promote(call.id);
    });
    Entries entries(*platform);
    Review::DatabaseGroup::Hooks hooks;
    hooks.changed = [&](const std::string& id, const std::string& address, bool isPrimary, int incarnation) {
        if (!platform->isStoreSilent())
            entries.changed(id, address, isPrimary, incarnation);
    };
    // No database is partitioned from a machine.
    hooks.machineOf = [](std::uint16_t) { return -1; };
    group = std::make_unique<Review::DatabaseGroup>(
        Review::GroupSettings { "approval-register", 3, 0, 20ms, 300ms }, hooks, record);
    group->registerAll();
    publish(*platform);
    std::thread([&] {
        while (true) {
            std::this_thread::sleep_for(heartbeat);
            group->registerAll();
        }
    }).detach();
    Review::MachineSettings settings;
    settings.platform = platform->port();
    settings.zones = { "shah-alam", "cyberjaya", "petaling" };
    auto machines = std::make_unique<Review::Machines>(settings, machineCount);
    if (!machines->awaitReady())
        end(machines, NotRun);
    std::this_thread::sleep_for(calmTime);

    std::atomic<bool> isOver = false;
    std::atomic<bool> isWriting = true;
    std::vector<Acknowledged> writes;
    std::vector<std::vector<Read>> reads(machineCount);
    std::vector<std::thread> threads;
    threads.reserve(machineCount + 1);
    threads.emplace_back([&] { writes = write(machines->at(0).callers, isWriting, record); });
    for (int i = 0; i < machineCount; ++i) {
        threads.emplace_back([&, i] {
            reads.at(static_cast<std::size_t>(i)) = read(machines->at(i).callers, isOver, record);
        });
    }
    std::this_thread::sleep_for(1s);
    const bool hasRun = !hasTrouble || disturb(*group, *platform, record, isWriting, requestedAt);
    std::this_thread::sleep_for(timeAfter);
    isWriting = false;
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();

    record.write("the primary is " + Review::DatabaseGroup::idOf(group->primary()));
    std::size_t count = 0;
    int stale = 0;
    for (const auto& all : reads) {
        count += all.size();
        stale += countStale(all, writes, *group, record);
    }
    record.write(std::to_string(stale) + " of " + std::to_string(count) + " reads stale, "
        + std::to_string(group->promotions()) + " promotions");
    if (!hasRun || count == 0)
        end(machines, NotRun);
    end(machines, stale > 0 ? Broken : Held);
}

}

int main(int argc, char** argv)
{
    if (argc != 2)
        return NotRun;
    const char* trouble = std::getenv("TROUBLE");
    run(argv[1], !trouble || std::string(trouble) != "0");
}
