#include "../client.h"
#include "../deployment.h"

#include <algorithm>
#include <set>
#include <thread>

using namespace Review;
using namespace std::chrono_literals;

namespace {

/// Number of statements sent so far, for their ids.
int s_attempts = 0;

/// Writes `data` until an attempt is acknowledged; every attempt uses a new id. Returns whether one was.
bool write(Deployment& deployment, Record& record, const std::string& item, const std::string& data)
{
    for (int i = 0; i < 20; ++i) {
        Client client(deployment.front(i % 3));
        if (client.open(Deployment::primaryRoute, Deployment::key)) {
            const std::string id = "w" + std::to_string(++s_attempts);
            const Answer answer
                = client.query(id, std::string("WRITE ").append(item).append(" ").append(data));
            record.write({ "write ", id, " of ", item, " = ", data, ": ", printable(answer.result) });
            if (answer.isSuccess())
                return true;
        }
        std::this_thread::sleep_for(200ms);
    }
    return false;
}

bool contains(const std::vector<LogEntry>& log, const std::string& item)
{
    return std::ranges::any_of(log, [&](const LogEntry& entry) {
        return std::ranges::any_of(entry.writes, [&](const auto& write) { return write.first == item; });
    });
}

int run(Record& record)
{
    Deployment::Settings settings;
    settings.databases.syncReplicas = 1;
    Deployment deployment(settings, record);
    if (!deployment.isReady())
        return notRun;
    Databases& databases = deployment.databases();
    const std::string previous = databases.primary();
    std::vector<std::string> acknowledged;
    const auto writeItems = [&](const std::string& prefix) {
        for (int i = 0; i < 5; ++i) {
            const std::string item = prefix + std::to_string(i);
            if (!write(deployment, record, item, "granted"))
                return false;
            acknowledged.push_back(item);
        }
        return true;
    };
    if (!writeItems("before-"))
        return notRun;
    if (hasTrouble()) {
        record.write("db-1 is to be replaced: it is draining, and still receives and serves");
        databases.drain("db-1");
        std::this_thread::sleep_for(1s);
        record.write("db-2 receives nothing");
        databases.setDeaf("db-2", true);
    }
    if (!writeItems("during-"))
        return notRun;
    if (hasTrouble()) {
        std::this_thread::sleep_for(500ms);
        record.write("the primary crashes");
        databases.crash(previous);
        // Its entry is removed after three ping intervals of silence.
        std::this_thread::sleep_for(3600ms);
        deployment.removeEntry(previous);
        Integration::waitUntil([&] { return databases.primary() != previous; }, 12s);
    }
    const std::string primary = databases.primary();
    record.write("the primary is " + primary);
    // What consumers see.
    if (write(deployment, record, "after", "granted")) {
        Client client(deployment.front(0));
        if (client.open(Deployment::primaryRoute, Deployment::key)) {
            const Answer answer = client.query("r1", "READ during-0");
            record.write("a consumer reads during-0: "
                + printable(answer.rows.empty() ? std::string("(no row)") : answer.rows.front()) + " / "
                + printable(answer.result));
        }
    }
    bool isBroken = false;
    const auto log = databases.log(primary);
    for (const std::string& item : acknowledged) {
        if (!contains(log, item)) {
            record.write({ "acknowledged, but not in the log of ", primary, ": ", item });
            isBroken = true;
        }
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
