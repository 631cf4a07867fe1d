// The primary of a service crashes with commits that no replica has received, comes back, and is promoted
// again after its successor. STALE: a read must not run on a log that lacks an acknowledged commit, unless a
// promotion rolled that commit back.

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
constexpr milliseconds pauseBetweenStatements { 40 };
/// Times since the replicas receive nothing.
constexpr milliseconds crashAt { 1000 };
constexpr milliseconds darkAt { 3950 };
constexpr milliseconds restartAt { 4000 };
constexpr milliseconds deafUntil { 6500 };
constexpr milliseconds watchedUntil { 9000 };

/// Start times of reads and times of the acknowledgements of writes, by id.
class Times {
public:
    void add(const std::string& id, long elapsedMs)
    {
        const std::lock_guard lock(m_mutex);
        m_times[id] = elapsedMs;
    }
    std::map<std::string, long> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_times;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, long> m_times;
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
    std::unique_ptr<ReplicatedDatabases> databases;
    std::atomic<bool> isCrashed = false;
    const std::string crashedPrimary = std::string(service) + "-db-0";
    const auto registerDatabase = [&](const std::string& id) {
        const auto ids = databases->ids();
        const auto index = static_cast<std::size_t>(std::ranges::find(ids, id) - ids.begin());
        store->set("servers", id,
            databaseEntry(service, databases->address(id), zones.at(index), slots, databases->isPrimary(id)));
    };
    databases = std::make_unique<ReplicatedDatabases>(service, 0, [&](const std::string& id) {
        record.write(id + " is now " + (databases->isPrimary(id) ? "the primary" : "a replica"));
        if (id != crashedPrimary || !isCrashed)
            registerDatabase(id);
    });
    store = std::make_unique<Store>([&](const std::string&, const std::string& id) {
        record.write("promote " + id);
        return databases->promote(id);
    });
    for (const std::string& id : databases->ids())
        registerDatabase(id);
    const Route decision { "decision", "primary", 800, 120, 0 };
    store->set("op", "config", desiredState(1, service, { decision }, { { "acme", { "key-a" } } }));

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

    Times acknowledged;
    Times readsBegun;
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
                    std::this_thread::sleep_for(pauseBetweenStatements);
                    if (!session) {
                        session = std::make_unique<Consumer>(hosts[h]->address());
                        if (!session->open("decision", "key-a"))
                            session.reset();
                        continue;
                    }
                    const bool isRead = i % 2 == 0;
                    const std::string id = name + "-" + std::to_string(i);
                    if (isRead)
                        readsBegun.add(id, record.elapsedMs());
                    const Answer answer = session->query(id, isRead ? "READ item-1" : prefix + id);
                    if (!isRead && !answer.isCut && answer.code.empty())
                        acknowledged.add(id, record.elapsedMs());
                    record.write(id + (isRead ? " READ: " : " WRITE: ") + answer.text());
                    if (answer.isCut)
                        session.reset();
                }
            });
        }
    }
    std::this_thread::sleep_for(milliseconds(1000));
    const auto deafAt = Clock::now();
    if (context.hasTrouble) {
        for (const std::string& id : databases->ids())
            databases->setDeaf(id, true);
        record.write("the replicas receive nothing from now on");
        std::this_thread::sleep_until(deafAt + crashAt);
        isCrashed = true;
        databases->crash(crashedPrimary);
        record.write("the primary, " + crashedPrimary + ", crashes");
        std::this_thread::sleep_until(deafAt + darkAt);
        const std::string dark = databases->primary();
        databases->goDark(dark);
        record.write("the primary, " + dark + ", goes dark");
        std::this_thread::sleep_until(deafAt + restartAt);
        isCrashed = false;
        databases->restart(crashedPrimary);
        registerDatabase(crashedPrimary);
        record.write(crashedPrimary + " is back with its log, as a replica");
        std::this_thread::sleep_until(deafAt + deafUntil);
        for (const std::string& id : databases->ids())
            databases->setDeaf(id, false);
        record.write("the replicas receive again");
    }
    std::this_thread::sleep_until(deafAt + watchedUntil);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();

    // What is not in the last primary's log was rolled back by a promotion.
    const std::set<std::string> lastLog = databases->log(databases->primary());
    const auto writes = acknowledged.all();
    const auto begun = readsBegun.all();
    int broken = 0;
    int checked = 0;
    for (const ReplicatedDatabases::Read& read : databases->reads()) {
        const auto start = begun.find(read.id);
        if (start == begun.end())
            continue;
        ++checked;
        const auto lacking = std::ranges::count_if(writes, [&](const auto& write) {
            return write.second < start->second && !read.log.contains(write.first)
                && lastLog.contains(write.first);
        });
        if (lacking == 0)
            continue;
        ++broken;
        record.write("BROKEN: " + read.id + " ran at " + read.database + ", whose log lacked "
            + std::to_string(lacking) + " acknowledged writes that are in the log of the last primary");
    }
    record.write(std::to_string(broken) + " of " + std::to_string(checked)
        + " reads lacked acknowledged writes; the last primary is " + databases->primary());
    hosts.clear();
    std::_Exit(static_cast<int>(broken > 0 ? Verdict::Broken : Verdict::Held));
}
