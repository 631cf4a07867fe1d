#pragma once

#include "metrics/registry.h"
#include "proxyhost/usagereports.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Hosts that report usage, with a store and a platform, in simulated time. Seeded. Hosts run statements at a
/// constant rate. The window is 5 s long, a report is due after 10 s.
class UsageSimulation {
public:
    /// An accepted or refused report.
    struct Call {
        Model::Time at;
        std::string host;
        std::uint64_t token = 0;
        Usage::Window window = 0;
        Usage::Counts counts;
        bool isAccepted = false;
    };

    UsageSimulation(int hosts, unsigned seed);

    void run(Model::Duration duration);
    Model::Time now() const { return m_now; }
    /// Runs until this time after the end of the current window.
    void runToWindowEnd(Model::Duration after);

    void kill(int host);
    /// The process starts again without its memory.
    void start(int host);
    void setFrozen(int host, bool isFrozen) { m_hosts.at(host).isFrozen = isFrozen; }
    /// The host hears no other host, and no other one hears it.
    void setPartitioned(int host, bool isPartitioned) { m_hosts.at(host).isPartitioned = isPartitioned; }
    void setClockError(int host, Model::Duration error) { m_hosts.at(host).clockError = error; }
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    void saveCopy() { m_savedRows = m_rows, m_savedVersion = m_version; }
    void restore();
    /// The host that holds the lease.
    int holder() const;

    /// Fractions of messages and calls, from 0 to 1.
    double lostMessages = 0;
    double repeatedMessages = 0;
    /// Calls of the store or the platform whose answer is lost; half of them are executed 1 to 3 s later.
    double lostAnswers = 0;
    /// While set, hosts publish nothing about a window's report, as if all these messages were lost.
    bool losesProgress = false;
    /// Statements per second and customer of each host.
    int rate = 40;

    int storeCalls = 0;
    std::map<std::string, int> storeCallsByHost;
    const std::vector<Call>& calls() const { return m_calls; }
    const std::map<Usage::Window, Usage::Counts>& trueCounts() const { return m_trueCounts; }
    Usage::Window windowNow() const;

    /// Fails the test if an accepted report differs from another one of its window, two hosts used one token,
    /// or hosts acted in the order A, B, A within 3 s.
    void checkRules() const;
    /// Windows from `first` on whose report was due before now, and that have no report in time within 5 % of
    /// each customer's count.
    std::vector<Usage::Window> wrongWindows(Usage::Window first) const;

private:
    struct Host {
        std::string name;
        std::unique_ptr<ProxyHost::UsageReports> reports;
        std::uint64_t incarnation = 0;
        bool isFrozen = false;
        bool isPartitioned = false;
        Model::Duration clockError {};
        std::uint64_t epochSeen = 0;
        Model::Time heardAt;
        /// What happens on the host next; delayed while it is frozen.
        std::multimap<Model::Time, std::function<void()>> events;
    };

    void step();
    void deliver(Host& host, std::function<void()> task, Model::Duration delay);
    void send(const Host& sender, const std::string& receiver, const ProxyHost::UsageMessage& message);
    ProxyHost::PlatformCalls calls(Host& host);
    ProxyHost::StoreAnswer answer(Host& host);
    ProxyHost::StoreAnswer commit(const std::vector<ProxyHost::StoreWrite>& writes);
    ProxyHost::UsageReportResult report(const ProxyHost::UsageReport& report);
    std::vector<std::string> others(const Host& host) const;
    std::vector<std::string> reporting(const Host& host) const;
    Usage::WallTime wall() const;
    bool happens(double probability);
    Model::Duration randomDuration(int minMs, int maxMs);

    std::mt19937 m_random;
    Model::Time m_now { std::chrono::seconds(1000) };
    Metrics::Registry m_metrics;
    std::vector<Host> m_hosts;
    std::uint64_t m_lastIncarnation = 0;
    std::map<std::string, ProxyHost::StoreRow> m_rows;
    std::map<std::string, ProxyHost::StoreRow> m_savedRows;
    std::uint64_t m_version = 1;
    std::uint64_t m_savedVersion = 1;
    std::uint64_t m_epoch = 1;
    bool m_isStoreDown = false;
    std::multimap<Model::Time, std::function<void()>> m_late;
    std::uint64_t m_highestToken = 0;
    std::vector<Call> m_calls;
    std::map<Usage::Window, Usage::Counts> m_trueCounts;
};
