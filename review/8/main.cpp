// A replica that acknowledges commits is cut from the store, another one receives nothing, and the primary
// crashes. LOST: an acknowledged commit must be in the log of the database that is promoted.

#include "../standins-2/casecontext.h"
#include "../standins-2/consumer.h"
#include "../standins-2/deployment.h"
#include "../standins-2/replicateddatabases.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>

using namespace Review2;

namespace {

constexpr const char* service = "register";
constexpr milliseconds startLimit { 15000 };
constexpr int slots = 2;
constexpr int consumersOfHost = 2;
constexpr milliseconds pauseBetweenWrites { 100 };
/// `heartbeatMs` of the settings. An entry is removed after three intervals of silence.
constexpr milliseconds pingInterval { 1200 };
constexpr milliseconds entryLifetime = 3 * pingInterval;
/// Times since the replica was cut from the store.
constexpr milliseconds deafFrom { 1500 };
constexpr milliseconds crashAt { 4300 };
constexpr milliseconds cutUntil { 5000 };
constexpr milliseconds deafUntil = deafFrom + milliseconds(6000);
constexpr milliseconds watchedUntil { 12000 };

/// Acknowledged writes, by id, with the time of the acknowledgement.
class Acknowledged {
public:
    void add(const std::string& id, long elapsedMs)
    {
        const std::lock_guard lock(m_mutex);
        m_writes[id] = elapsedMs;
    }
    std::map<std::string, long> writes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_writes;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, long> m_writes;
};

}

int main(int argc, char** argv)
{
    CaseContext context;
    if (!parseArguments(argc, argv, context))
        return static_cast<int>(Verdict::CouldNotRun);
    Record& record = *context.record;
    const std::vector<std::string> zones { "north", "east", "south" };
    std::unique_ptr<Store> store;
    std::atomic<bool> isCut = false;
    std::unique_ptr<ReplicatedDatabases> databases;
    const auto registerDatabase = [&](const std::string& id) {
        const auto ids = databases->ids();
        const auto index = static_cast<std::size_t>(std::ranges::find(ids, id) - ids.begin());
        store->set("servers", id,
            databaseEntry(service, databases->address(id), zones.at(index), slots, databases->isPrimary(id)));
    };
    const std::string crashedPrimary = std::string(service) + "-db-0";
    const std::string cutReplica = std::string(service) + "-db-1";
    const std::string deafReplica = std::string(service) + "-db-2";
    databases = std::make_unique<ReplicatedDatabases>(service, 1, [&](const std::string& id) {
        record.write(id + " is now " + (databases->isPrimary(id) ? "the primary" : "a replica"));
        const bool isSilent = (id == cutReplica && isCut) || (context.hasTrouble && id == crashedPrimary);
        if (!isSilent)
            registerDatabase(id);
    });
    store = std::make_unique<Store>([&](const std::string&, const std::string& id) {
        record.write("promote " + id);
        return databases->promote(id);
    });
    for (const std::string& id : databases->ids())
        registerDatabase(id);
    const Route decision { "decision", "primary", 800, 120, 0 };
    store->set("op", "config", desiredState(1, service, { decision }, { { "acme", { "key-a" } } }, 1));

    std::vector<std::unique_ptr<Daemon>> hosts;
    for (const std::string& zone : zones) {
        const HostSettings settings { "front-" + zone + "-1", zone, store->address() };
        hosts.push_back(std::make_unique<Daemon>(context.command, context.folder, settings));
    }
    for (const auto& host : hosts) {
        if (!host->waitUntilReady(startLimit))
            return static_cast<int>(Verdict::CouldNotRun);
    }
    std::this_thread::sleep_for(milliseconds(2000));

    Acknowledged acknowledged;
    std::atomic<bool> isOver = false;
    std::vector<std::thread> threads;
    threads.reserve(hosts.size() * consumersOfHost);
    for (std::size_t h = 0; h < hosts.size(); ++h) {
        for (int c = 0; c < consumersOfHost; ++c) {
            threads.emplace_back([&, h, c] {
                const std::string name = "h" + std::to_string(h) + "c" + std::to_string(c);
                const std::string prefix = "WRITE item-" + name + " data-";
                std::unique_ptr<Consumer> session;
                for (int i = 0; !isOver; ++i) {
                    std::this_thread::sleep_for(pauseBetweenWrites);
                    if (!session) {
                        session = std::make_unique<Consumer>(hosts[h]->address());
                        if (!session->open("decision", "key-a"))
                            session.reset();
                        continue;
                    }
                    const std::string id = name + "-" + std::to_string(i);
                    const Answer answer = session->query(id, prefix + id);
                    if (!answer.isCut && answer.code.empty())
                        acknowledged.add(id, record.elapsedMs());
                    record.write(id + ": " + answer.text());
                    if (answer.isCut)
                        session.reset();
                }
            });
        }
    }
    std::this_thread::sleep_for(milliseconds(1000));
    const auto cutAt = Clock::now();
    if (context.hasTrouble) {
        isCut = true;
        record.write(cutReplica + " is cut from the store; the hosts and the primary reach it");
        std::this_thread::sleep_until(cutAt + deafFrom);
        databases->setDeaf(deafReplica, true);
        record.write(deafReplica + " receives nothing from now on");
        std::this_thread::sleep_until(cutAt + entryLifetime);
        store->remove("servers", cutReplica);
        record.write("the entry of " + cutReplica + " is removed after three ping intervals");
        std::this_thread::sleep_until(cutAt + crashAt);
        databases->crash(crashedPrimary);
        record.write("the primary crashes");
        std::this_thread::sleep_until(cutAt + cutUntil);
        isCut = false;
        registerDatabase(cutReplica);
        record.write(cutReplica + " reaches the store again and is registered");
        std::this_thread::sleep_until(cutAt + crashAt + entryLifetime);
        store->remove("servers", crashedPrimary);
        std::this_thread::sleep_until(cutAt + deafUntil);
        databases->setDeaf(deafReplica, false);
    }
    std::this_thread::sleep_until(cutAt + watchedUntil);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();

    const std::string promoted = databases->primary();
    const std::set<std::string> promotedLog = databases->log(promoted);
    int lost = 0;
    const auto writes = acknowledged.writes();
    for (const auto& [id, elapsedMs] : writes) {
        if (promotedLog.contains(id))
            continue;
        ++lost;
        std::string text = "BROKEN: " + id + ", acknowledged at " + std::to_string(elapsedMs);
        text += " ms, is not in the log of " + promoted;
        record.write(text);
    }
    record.write(std::to_string(lost) + " of " + std::to_string(writes.size())
        + " acknowledged writes are not in the log of the primary, " + promoted);
    hosts.clear();
    std::_Exit(static_cast<int>(lost > 0 ? Verdict::Broken : Verdict::Held));
}
