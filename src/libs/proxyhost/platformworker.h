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

/// Tables of the hosts' own, and how their rows are written.
namespace Tables {
    constexpr const char* hosts = "hosts";
    constexpr const char* promotionLeases = "duties";
}

/// Makes calls to the platform one after the other on a thread of its own. Results arrive on the loop's
/// thread.
class PlatformWorker {
public:
    PlatformWorker(EventLoop::Loop& loop, PlatformCalls calls, std::string host);
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker&) = delete;
    PlatformWorker& operator=(const PlatformWorker&) = delete;

    /// Makes this host the holder of a service's promotions. Nothing if another one was faster, or the store
    /// did not answer clearly.
    void acquireLease(
        const std::string& service, std::function<void(std::optional<Failover::FencingToken>)> done);
    void promote(const PromotionRequest& request, std::function<void(Failover::PromotionRequestResult)> done);
    /// Writes the host's own row; tries until it is written. The result is the row's version.
    void registerHost(const std::string& value, std::function<void(std::uint64_t version)> done);
    /// Drops a host's row, this one's or an abandoned one, if it still has that version.
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
