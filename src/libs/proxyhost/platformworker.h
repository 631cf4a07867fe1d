#pragma once

#include "core/failover/primaryfences.h"
#include "proxyhost/rows.h"
#include "proxyhost/store.h"
#include "proxyhost/tables.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace EventLoop {
class Loop;
}

namespace ProxyHost {

/// An acquired promotion lease.
struct AcquiredLease {
    std::string service;
    Failover::PromotionLease lease;
    /// Version of the lease's row.
    std::uint64_t version = 0;
    /// The hosts that were registered after the acquisition, this one included; only with a fence.
    std::vector<Failover::RegisteredHost> hosts;
    /// Time of the store just before the acquisition.
    Failover::StoreTime acquiredAt {};
};

/// The allowed primary of a service as it stands in the store.
struct StoredPrimary {
    Failover::AllowedPrimary primary;
    Failover::TermHistory promotions;
    /// Version of the lease's row.
    std::uint64_t rowVersion = 0;
};

/// The allowed primaries of all services and the rows of all hosts, each as of a time after the call.
struct FenceState {
    std::vector<StoredPrimary> primaries;
    std::vector<StoreRow> hosts;
};

/// Makes blocking calls to the platform, one at a time, on a thread of its own. Results are delivered on the
/// loop's thread.
class PlatformWorker {
public:
    PlatformWorker(EventLoop::Loop& loop, PlatformCalls calls, std::string host);
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker&) = delete;
    PlatformWorker& operator=(const PlatformWorker&) = delete;

    using LeaseHook = std::function<void(const std::optional<AcquiredLease>&)>;
    /// Acquires the promotion lease of a service for this host. With a fence, also allows no primary and
    /// reads the registered hosts. `done` gets `nullopt` if another host holds the lease or was faster, or
    /// the store gave no definite answer.
    void acquireLease(const std::string& service, Failover::Fence fence, LeaseHook done);
    /// Changes the allowed primary and the promotions in the row of a lease that this host holds. `done` gets
    /// the lease with the new version, or `nullopt` if the row has changed or the store gave no definite
    /// answer.
    void allowPrimary(const AcquiredLease& lease, const std::string& upstream,
        const Failover::TermHistory& promotions, LeaseHook done);
    /// Writes the promotions into the row of a lease that this host holds. `done` gets the same as that of
    /// `allowPrimary`.
    void recordPromotions(
        const AcquiredLease& lease, const Failover::TermHistory& promotions, LeaseHook done);
    /// Writes a lease that the store has lost, unless its row has changed since it had this version.
    void restoreLease(
        const std::string& service, const Failover::PromotionLease& lease, std::uint64_t rowVersion);
    /// Reads the allowed primaries of all services and the registered hosts. `done` gets `nullopt` if the
    /// store gave no answer.
    void readFences(std::function<void(const std::optional<FenceState>&)> done);
    /// Sends a promotion request to the platform's promoter.
    void promote(const PromotionRequest& request, std::function<void(Failover::PromotionRequestResult)> done);
    /// Writes the host's own row and retries until it is written, within the time that other hosts assume.
    /// `done` gets the version of the row.
    void registerHost(const HostRow& host, std::function<void(std::uint64_t version)> done);
    /// Deletes the row of this host, or a stale host row, if it still has this version.
    void deleteHostRow(const std::string& host, std::uint64_t version);
    /// Runs other calls on the worker's thread.
    void call(std::function<void(const PlatformCalls&)> task);

private:
    void enqueue(std::function<void()> task);
    void changeLease(AcquiredLease lease, LeaseHook done);
    void run();
    std::optional<AcquiredLease> acquireLeaseNow(const std::string& service, Failover::Fence fence);
    struct WrittenRow {
        std::uint64_t version = 0;
        /// The store's epoch when the row had this version.
        std::uint64_t epoch = 0;
    };

    std::optional<WrittenRow> writeLease(
        const std::string& service, const Failover::PromotionLease& lease, std::uint64_t expectedVersion);
    std::optional<FenceState> readFencesNow();
    std::optional<std::uint64_t> registerNow(HostRow host);

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
