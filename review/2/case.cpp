#include "../client.h"
#include "../deployment.h"

#include <algorithm>
#include <atomic>
#include <thread>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 3;
constexpr int sessions = 6;
constexpr auto duration = 6s;
constexpr auto writePause = 20ms;
/// Share of its requests that the database fails.
constexpr double failingShare = 0.4;
/// The session value that the first half of the consumers set, each to another text.
constexpr const char* valueName = "role";

/// The value that the session sets; empty if it sets none.
std::string valueOf(int session)
{
    return session < sessions / 2 ? "clerk-" + std::to_string(session) : std::string();
}

/// Opens a session, sets its value if it has one, and writes one item after the other; opens another session
/// after an answer that leaves the result open.
void writeItems(Deployment& deployment, Record& record, int session, const std::atomic<bool>& isStopping)
{
    const std::string prefix = std::to_string(session) + "-";
    int count = 0;
    while (!isStopping) {
        std::this_thread::sleep_for(writePause);
        Client client(deployment.front(session % hosts));
        if (!client.open(Deployment::primaryRoute, Deployment::key))
            continue;
        const std::string value = valueOf(session);
        const std::string setting = std::string("SET ").append(valueName).append(" ").append(value);
        if (!value.empty() && !client.query("set" + prefix + std::to_string(++count), setting).isSuccess())
            continue;
        bool isOpen = true;
        while (isOpen && !isStopping) {
            const std::string item = prefix + std::to_string(++count);
            const Answer answer = client.query(item, "WRITE item-" + item + " filed");
            record.write({ "consumer ", std::to_string(session), ": write ", item, " got ",
                printable(answer.result) });
            isOpen = answer.isSuccess();
            std::this_thread::sleep_for(writePause);
        }
    }
}

int run(Record& record)
{
    Deployment::Settings settings;
    settings.hosts = hosts;
    Deployment deployment(settings, record);
    if (!deployment.isReady())
        return notRun;
    if (hasTrouble()) {
        record.write("db-0 fails part of its requests");
        deployment.databases().setFailing("db-0", failingShare);
    }
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> threads;
    threads.reserve(sessions);
    for (int session = 0; session < sessions; ++session)
        threads.emplace_back([&, session] { writeItems(deployment, record, session, isStopping); });
    std::this_thread::sleep_for(duration);
    isStopping = true;
    for (std::thread& thread : threads)
        thread.join();
    int wrong = 0;
    const auto statements = deployment.databases().runStatements();
    for (const RunStatement& statement : statements) {
        const std::string session = statement.id.substr(0, statement.id.find('-'));
        const std::string expected = valueOf(std::atoi(session.c_str()));
        const auto found = statement.values.find(valueName);
        const std::string actual = found == statement.values.end() ? std::string() : found->second;
        if (actual == expected)
            continue;
        ++wrong;
        record.write({ statement.database, " ran ", statement.id, " with role '", actual, "' instead of '",
            expected, "'" });
    }
    record.write({ std::to_string(wrong), " of ", std::to_string(statements.size()),
        " writes ran with other session values than were acknowledged" });
    return wrong > 0 ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const int result = run(record);
    record.write("exit " + std::to_string(result));
    return result;
}
