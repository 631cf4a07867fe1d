#include "platform/storewatcher.h"

#include "eventloop/loop.h"
#include "faultproxy/link.h"
#include "sessionplatform/rowstore.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

#include <gtest/gtest.h>

using namespace Adapter;
using namespace std::chrono_literals;

namespace {

std::string configurationText(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"tenants":[]})";
}

bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

/// A store behind a link, and a watcher whose events are counted on the watcher's own threads.
class Fixture {
public:
    Fixture()
    {
        const std::string address = m_store.address();
        const std::size_t colon = address.rfind(':');
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
        // Never destroyed, since its detached thread runs until the process ends.
        m_link = new Standins::Link("store", { "127.0.0.1", 0 }, { address.substr(0, colon), port });
        std::thread([link = m_link] { link->run(); }).detach();
        m_store.set("op", "config", configurationText(1));
        m_watcher = std::make_unique<StoreWatcher>("127.0.0.1:" + std::to_string(m_link->port()),
            std::make_shared<StoreEpoch>(), events(), [](const std::function<void()>& task) { task(); });
    }

    Standins::RowStore& store() { return m_store; }
    Standins::Link& link() { return *m_link; }
    StoreWatcher& watcher() { return *m_watcher; }
    std::uint64_t version() const { return m_version; }
    int failures() const { return m_failures; }

private:
    ProxyHost::StoreEvents events()
    {
        ProxyHost::StoreEvents events;
        events.configuration = [this](const auto& configuration) { m_version = configuration->version; };
        events.configurationInvalid = [](const std::string&) {};
        events.zonesOut = [](const std::vector<std::string>&) {};
        events.zone = [](const std::string&, bool) {};
        events.upstreams = [](const std::vector<Directory::Upstream>&) {};
        events.upstream = [](const Directory::Upstream&) {};
        events.upstreamRemoved = [](const std::string&) {};
        events.hosts = [](const std::vector<StoreRow>&, bool) {};
        events.changesRead = [](ProxyHost::StoreTable, std::uint64_t, std::uint64_t) {};
        events.restored = [](const ProxyHost::StoreRestoration&) {};
        events.tableAvailable = [](const std::string&, int) {};
        events.readFailed = [this](const Directory::FailedRead&) { ++m_failures; };
        return events;
    }

    Standins::RowStore m_store { [](const std::string&, const std::string&) { return true; } };
    Standins::Link* m_link = nullptr;
    std::atomic<std::uint64_t> m_version = 0;
    std::atomic<int> m_failures = 0;
    std::unique_ptr<StoreWatcher> m_watcher;
};

/// Whether the watcher reads this version while reports of other hosts, that it has missed a change, go on.
bool readsWhileOthersReport(Fixture& fixture, std::uint64_t version)
{
    return waitUntil(
        [&] {
            fixture.watcher().reread(ProxyHost::StoreTable::Operators, EventLoop::now());
            std::this_thread::sleep_for(100ms);
            return fixture.version() == version;
        },
        20s);
}

}

// Guards against a host that stays at an old configuration after an outage of the store: reports of other
// hosts that it has missed changes interrupt, again and again, the call that reads them.
TEST(StoreWatcher, ReadsMissedChangesDespiteReportsOfOtherHosts)
{
    Fixture fixture;
    ASSERT_TRUE(waitUntil([&] { return fixture.version() == 1; }, 20s));
    fixture.store().setUnavailable(true);
    ASSERT_TRUE(waitUntil([&] { return fixture.failures() > 0; }, 20s));
    fixture.store().set("op", "config", configurationText(2));
    fixture.link().configure({ { "delayMs", 200 } });
    fixture.store().setUnavailable(false);
    EXPECT_TRUE(readsWhileOthersReport(fixture, 2));
}

// Guards against a host that misses changes for as long as it waits on a connection that has fallen silent,
// such as 30 s.
TEST(StoreWatcher, LeavesUnresponsiveConnectionOnReportOfOtherHosts)
{
    Fixture fixture;
    fixture.watcher().setPeerNotifications(true);
    ASSERT_TRUE(waitUntil([&] { return fixture.version() == 1; }, 20s));
    // The first call waits for a shorter time.
    std::this_thread::sleep_for(2s);
    fixture.link().configure({ { "freezeExisting", true } });
    fixture.store().set("op", "config", configurationText(2));
    EXPECT_TRUE(readsWhileOthersReport(fixture, 2));
}
