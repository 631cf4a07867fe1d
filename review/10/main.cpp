// A host gets SIGTERM while sessions are inside transactions. LOST: a statement that the host has read and
// passed on to a database must be answered before the connection ends.

#include "../standins-2/casecontext.h"
#include "../standins-2/consumer.h"
#include "../standins-2/deployment.h"
#include "../standins-2/statementids.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

using namespace Review2;

namespace {

constexpr const char* service = "register";
constexpr milliseconds startLimit { 15000 };
constexpr milliseconds graceTime { 6000 };
/// The rule excuses the statements that were sent up to this time after SIGTERM, if their database is at work
/// for them in the last sixth of the grace time.
constexpr milliseconds excusedUntil { 3000 };
constexpr int sessionCount = 6;
constexpr int statementsOfTransaction = 12;
/// Time that a statement takes at its database: the longest one of the public lookups.
constexpr milliseconds workTime { 170 };
/// After SIGTERM, the sessions begin their transactions.
constexpr milliseconds beginAfter { 1500 };
/// After SIGTERM, the first session sends its first statement; the others follow one after the other.
constexpr milliseconds firstStatementAfter { 2860 };
constexpr milliseconds sessionDistance { 25 };

}

int main(int argc, char** argv)
{
    CaseContext context;
    if (!parseArguments(argc, argv, context))
        return static_cast<int>(Verdict::CouldNotRun);
    Record& record = *context.record;
    StatementIds arrived;
    const std::vector<std::string> zones { "north", "east", "south" };
    DatabaseSettings databaseSettings;
    databaseSettings.service = service;
    databaseSettings.work = workTime;
    Databases databases(databaseSettings, [&](const Databases::Event& event) {
        if (event.answer.empty())
            arrived.add(event.id);
        record.write(event.database + (event.answer.empty() ? " receives " : " has run ") + event.id + " "
            + event.text);
    });
    Store store([&](const std::string&, const std::string& id) { return databases.promote(id); });
    registerDatabases(store, databases, service, databaseSettings.slots, zones);
    const Route lookup { "lookup", "bounded", 1500, 400, 1500 };
    store.set("op", "config", desiredState(1, service, { lookup }, { { "acme", { "key-a" } } }));

    std::vector<std::unique_ptr<Daemon>> hosts;
    for (const std::string& zone : zones) {
        const HostSettings settings { "front-" + zone + "-1", zone, store.address() };
        hosts.push_back(std::make_unique<Daemon>(context.command, context.folder, settings));
    }
    for (const auto& host : hosts) {
        if (!host->waitUntilReady(startLimit))
            return static_cast<int>(Verdict::CouldNotRun);
    }
    std::this_thread::sleep_for(milliseconds(2000));

    const Daemon& host = *hosts.front();
    std::atomic<int> broken = 0;
    std::atomic<int> failedToOpen = 0;
    std::vector<std::thread> threads;
    threads.reserve(sessionCount);
    const auto termAt = Clock::now() + milliseconds(1000);
    for (int i = 0; i < sessionCount; ++i) {
        threads.emplace_back([&, i] {
            const std::string name = "s" + std::to_string(i);
            Consumer session(host.address());
            if (!session.open("lookup", "key-a")) {
                ++failedToOpen;
                return;
            }
            std::this_thread::sleep_until(termAt + beginAfter);
            record.write(name + " BEGIN READ: " + session.query(name + "-begin", "BEGIN READ").text());
            std::this_thread::sleep_until(termAt + firstStatementAfter + sessionDistance * i);
            for (int statement = 1; statement <= statementsOfTransaction + 1; ++statement) {
                const bool isCommit = statement > statementsOfTransaction;
                const std::string id = name + "-" + std::to_string(statement);
                const milliseconds sentAfter
                    = std::chrono::duration_cast<milliseconds>(Clock::now() - termAt);
                const Answer answer
                    = session.query(id, isCommit ? "COMMIT" : "READ item-" + std::to_string(statement));
                const bool isBroken = answer.isCut && arrived.contains(id) && sentAfter > excusedUntil
                    && sentAfter < graceTime;
                broken += isBroken ? 1 : 0;
                record.write(id + " sent " + std::to_string(sentAfter.count()) + " ms after SIGTERM: "
                    + answer.text() + (isBroken ? "  BROKEN: it was passed on to a database" : ""));
                if (answer.isCut || !answer.code.empty())
                    return;
            }
        });
    }
    std::this_thread::sleep_until(termAt);
    if (context.hasTrouble) {
        host.signal(SIGTERM);
        record.write("SIGTERM to " + host.name());
    }
    for (std::thread& thread : threads)
        thread.join();
    record.write("statements that were passed on and not answered: " + std::to_string(broken));
    hosts.clear();
    if (failedToOpen > 0)
        std::_Exit(static_cast<int>(Verdict::CouldNotRun));
    std::_Exit(static_cast<int>(broken > 0 ? Verdict::Broken : Verdict::Held));
}
