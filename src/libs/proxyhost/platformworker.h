#pragma once

#include "proxyhost/store.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace EventLoop {
class Loop;
}

namespace ProxyHost {

/// Names of the store tables that hosts write.
namespace Tables {
    constexpr const char* hosts = "hosts";
    constexpr const char* promotionLeases = "duties";
}

/// Makes blocking calls to the platform, one at a time, on a thread of its own. Results are delivered on the
/// loop's thread.
class PlatformWorker {
public:
    PlatformWorker(EventLoop::Loop& loop, PlatformCalls calls, std::string host);
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker&) = delete;
    PlatformWorker& operator=(const PlatformWorker&) = delete;

    /// Acquires the promotion lease of a service for this host. `done` gets the fencing token, or `nullopt`
    /// if another host holds the lease or was faster, or the store gave no definite answer.
    void acquireLease(
        const std::string& service, std::function<void(std::optional<Failover::FencingToken>)> done);
    /// Sends a promotion request to the platform's promoter.
    void promote(const PromotionRequest& request, std::function<void(Failover::PromotionRequestResult)> done);
    /// Writes the host's own row and retries until it is written. `done` gets the version of the row.
    void registerHost(const std::string& value, std::function<void(std::uint64_t version)> done);
    /// Deletes the row of this host, or a stale host row, if it still has this version.
    void deleteHostRow(const std::string& host, std::uint64_t version);

private:
    void enqueue(std::function<void()> task);
    void run();
    std::optional<Failover::FencingToken> acquireLeaseNow(const std::string& service);
    std::optional<std::uint64_t> registerNow(const std::string& value);

    EventLoop::Loop& m_loop;
    PlatformCalls m_calls;
    std::string m_host;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    /// Guarded by the mutex.
    std::deque<std::function<void()>> m_tasks;
    /// Guarded by the mutex.
    bool m_isStopping = false;
    std::thread m_thread;
};

}
