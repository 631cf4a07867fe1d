#include "../client.h"
#include "../deployment.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace Review;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 3;
constexpr auto warmUp = 2s;
/// How long the replica receives nothing, and when in that time the primary crashes.
constexpr auto deafTime = 6s;
constexpr auto crashAfter = 500ms;
/// After the crash, the entry of the primary is removed: three ping intervals of 1.2 s after its last write,
/// which was half an interval before the crash.
constexpr auto entryLifetime = 3000ms;
constexpr auto writePause = 100ms;

/// Items whose writes were acknowledged.
class AcknowledgedItems {
public:
    void add(const std::string& item)
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back(item);
    }
    std::vector<std::string> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_items;
};

/// Writes one new item after the other through a host.
void writeItems(Deployment& deployment, Record& record, int host, AcknowledgedItems& acknowledged,
    const std::atomic<bool>& isStopping)
{
    const std::string prefix = "h" + std::to_string(host) + "-";
    int count = 0;
    while (!isStopping) {
        Client client(deployment.front(host));
        bool isOpen = client.open(Deployment::ownWritesRoute, Deployment::key);
        while (isOpen && !isStopping) {
            const std::string item = prefix + std::to_string(++count);
            const Answer answer = client.query("w" + item, "WRITE " + item + " submitted");
            record.write({ "w", item, " got ", printable(answer.result) });
            if (answer.isSuccess())
                acknowledged.add(item);
            isOpen = answer.isWhole;
            std::this_thread::sleep_for(writePause);
        }
        std::this_thread::sleep_for(writePause);
    }
}

bool contains(const std::vector<LogEntry>& log, const std::string& item)
{
    return std::ranges::any_of(log, [&](const LogEntry& entry) {
        return std::ranges::any_of(entry.writes, [&](const auto& write) { return write.first == item; });
    });
}

void makeTrouble(Deployment& deployment, Record& record)
{
    Databases& databases = deployment.databases();
    record.write("db-2 receives nothing from now on");
    databases.setDeaf("db-2", true);
    std::this_thread::sleep_for(crashAfter);
    record.write("db-0, the primary, crashes");
    databases.crash("db-0");
    std::this_thread::sleep_for(entryLifetime);
    deployment.removeEntry("db-0");
    std::this_thread::sleep_for(deafTime - crashAfter - entryLifetime);
    record.write("db-2 receives again");
    databases.setDeaf("db-2", false);
}

int run(Record& record)
{
    Deployment::Settings settings;
    settings.hosts = hosts;
    settings.databases.syncReplicas = 1;
    Deployment deployment(settings, record);
    if (!deployment.isReady())
        return notRun;
    AcknowledgedItems acknowledged;
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> threads;
    threads.reserve(hosts);
    for (int host = 0; host < hosts; ++host)
        threads.emplace_back([&, host] { writeItems(deployment, record, host, acknowledged, isStopping); });
    std::this_thread::sleep_for(warmUp);
    if (hasTrouble())
        makeTrouble(deployment, record);
    else
        std::this_thread::sleep_for(deafTime);
    std::this_thread::sleep_for(warmUp);
    isStopping = true;
    for (std::thread& thread : threads)
        thread.join();
    const std::string primary = deployment.databases().primary();
    const auto log = deployment.databases().log(primary);
    const auto items = acknowledged.all();
    record.write(
        { "the primary is ", primary, ", ", std::to_string(items.size()), " writes were acknowledged" });
    bool isBroken = false;
    for (const std::string& item : items) {
        if (contains(log, item))
            continue;
        record.write({ "acknowledged, but not in the log of ", primary, ": ", item });
        isBroken = true;
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
