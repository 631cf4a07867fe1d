#include "../client.h"
#include "../deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr int sessions = 24;
constexpr auto warmUp = 2s;
/// The site's lookups take 22 ms on average, and 170 ms at most.
constexpr auto workTime = 150ms;
/// After SIGTERM; requests sent later than this are excused by nothing.
constexpr auto excusedUntil = 3s;

/// A request whose connection ended before its answer was complete.
struct CutRequest {
    std::string id;
    std::chrono::milliseconds sentAt {};
    std::chrono::milliseconds cutAt {};
};

/// Reads one item after the other on one connection, each as soon as the previous one was answered, until the
/// connection ends.
std::optional<CutRequest> readInSeries(
    Deployment& deployment, Record& record, int session, const std::atomic<bool>& isStopping)
{
    Client client(deployment.front(0));
    if (!client.open(Deployment::boundedRoute, Deployment::key))
        return std::nullopt;
    for (int i = 0; !isStopping; ++i) {
        const std::string id = "s" + std::to_string(session) + "-" + std::to_string(i);
        const auto sentAt = record.elapsed();
        const Answer answer = client.query(id, "READ paint-" + std::to_string(i));
        if (!answer.isWhole) {
            return CutRequest { id, sentAt, record.elapsed() };
        }
    }
    return std::nullopt;
}

int run(Record& record)
{
    Deployment::Settings settings;
    settings.hosts = 2;
    settings.databases.workTime = [](const std::string&) { return workTime; };
    Deployment deployment(settings, record);
    if (!deployment.isReady())
        return notRun;
    std::mutex mutex;
    std::vector<CutRequest> cut;
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> threads;
    threads.reserve(sessions);
    for (int session = 0; session < sessions; ++session) {
        threads.emplace_back([&, session] {
            if (const auto request = readInSeries(deployment, record, session, isStopping)) {
                const std::lock_guard lock(mutex);
                cut.push_back(*request);
            }
        });
    }
    std::this_thread::sleep_for(warmUp);
    const auto signalledAt = record.elapsed();
    if (hasTrouble()) {
        record.write("SIGTERM to front-0");
        deployment.process(0).signal(SIGTERM);
        deployment.process(0).waitForExit(std::chrono::seconds(settings.graceS));
        record.write("front-0 has ended, or its grace is over");
        deployment.process(0).kill();
    } else {
        std::this_thread::sleep_for(std::chrono::seconds(settings.graceS));
    }
    isStopping = true;
    for (std::thread& thread : threads)
        thread.join();
    const auto statements = deployment.databases().arrivedStatements();
    bool isBroken = false;
    for (const CutRequest& request : cut) {
        const auto statement = std::ranges::find(statements, request.id, &RunStatement::id);
        const bool isPassedOn = statement != statements.end();
        const auto sentAfter = request.sentAt - signalledAt;
        record.write("cut: " + request.id + ", sent " + std::to_string(sentAfter.count())
            + " ms after SIGTERM, cut " + std::to_string((request.cutAt - request.sentAt).count())
            + " ms later, " + (isPassedOn ? "passed on to " + statement->database : "not passed on"));
        isBroken |= isPassedOn && sentAfter > excusedUntil;
    }
    return isBroken ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const int result = run(record);
    record.write("exit " + std::to_string(result));
    return result;
}
