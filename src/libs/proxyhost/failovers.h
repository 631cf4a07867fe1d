#pragma once

#include "core/directory/view.h"
#include "core/failover/emptylogs.h"
#include "core/failover/pausecheck.h"
#include "core/failover/primarywatch.h"
#include "core/failover/promotion.h"
#include "core/proxy/command.h"
#include "eventloop/timer.h"
#include "proxyhost/fleet.h"
#include "proxyhost/platformworker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace SessionServer {
class Server;
}

namespace ProxyHost {

/// Watches the primaries of all services and replaces those that this host has to replace. Used on the loop's
/// thread.
class Failovers {
public:
    struct Hooks {
        /// This host has acquired a promotion lease, or changed the allowed primary in its row. The other
        /// hosts should learn of it at once.
        std::function<void(const AcquiredLease&)> leaseWritten;
        /// Whether no host uses a primary of the service any more; empty if the promoter takes the role from
        /// the previous primary.
        std::function<bool(const std::string& service, Model::Time now)> isFenceEffective;
    };

    Failovers(EventLoop::Loop& loop, const Directory::View& view, SessionServer::Server& server,
        PlatformWorker& worker, std::string self, Hooks hooks);

    /// Another host has reported the health of the service's primary.
    void setHealthObservation(const std::string& service, Failover::HealthObservation observation);
    /// A report of another host arrived; `canPromote` is set if that host could replace a primary.
    void setHost(const std::string& host, bool canPromote);
    /// Sets the number of live hosts, this one included.
    void setHostCount(int count);
    void setReportPeriod(Model::Duration period) { m_watch.setReportPeriod(period); }
    /// All upstreams that are registered are known.
    void upstreamsRead();
    /// Promotion leases can be acquired only while the store is reachable.
    void setStoreReachable(bool isReachable) { m_isStoreReachable = isReachable; }
    /// Starts the promotions that are due and advances the running ones.
    void update();
    /// Whether this host could acquire a promotion lease now.
    bool canPromote(Model::Time now) const;
    /// Whether this or another host suspects the primary of any service.
    bool isAnyPrimarySuspected(Model::Time now) const;
    /// Which primaries a report includes.
    enum class ObservationScope : std::uint8_t { Suspected, All };
    /// The primaries' health as observed by this host, for its report to the other hosts.
    std::vector<PrimaryHealth> healthObservations(ObservationScope scope) const;

private:
    void start(const std::string& service, Failover::PromotionReason reason);
    void advance(const std::string& service);
    using StatusHook
        = std::function<void(Failover::Promotion&, const std::optional<Failover::UpstreamStatus>&)>;
    void sendCommand(const std::string& service, const std::string& upstream, const Proxy::Command& command,
        const StatusHook& answered);
    void requestStatus(
        const std::string& service, const std::string& upstream, const Proxy::Command& command);
    void pause(const std::string& service, const std::string& upstream, std::uint64_t term);
    void resume(const std::string& service, const std::string& upstream);
    void acquireLease(const std::string& service, Failover::Fence fence);
    void recordCandidate(const std::string& service, const std::string& upstream);
    void leaseAcquired(const std::string& service, const std::optional<AcquiredLease>& lease);
    void recordOutcome(const std::string& service);
    void requestPromotion(
        const std::string& service, const std::string& upstream, Failover::FencingToken token);
    void checkPrimary(const std::string& service);
    void checkForPausedReplicas(const std::string& service);
    std::optional<Failover::PromotionReason> dueReason(const std::string& service, Model::Time now);
    bool isPrimaryReachable(const std::string& service, Model::Time now) const;
    std::optional<Model::Time> primaryExpected(const std::string& service, Model::Time now) const;
    bool isPausing(const std::string& service, Model::Time now) const;
    void surveyed(const std::string& service, const Failover::SurveyResult& result);
    bool mayPromoteDiverged(const std::string& service, Model::Time now) const;
    bool isWaitingForReplicas(
        const std::string& service, Failover::PromotionReason reason, Model::Time now) const;

    EventLoop::Loop& m_loop;
    const Directory::View& m_view;
    SessionServer::Server& m_server;
    PlatformWorker& m_worker;
    std::string m_self;
    Hooks m_hooks;
    /// Time from an accepted promotion request to the end of the promotion, as in the last successful one.
    Model::Duration m_promotionDuration;
    Failover::PrimaryWatch m_watch;
    EventLoop::Timer m_timer;
    std::map<std::string, std::unique_ptr<Failover::Promotion>> m_promotions;
    /// The lease of each running promotion that has acquired it.
    std::map<std::string, AcquiredLease> m_leases;
    std::map<std::string, Model::Time> m_lastEnded;
    /// Services whose promotions have to be finished, see `PromotionReason::Unfinished`.
    std::set<std::string> m_unfinished;
    Failover::PauseCheck m_pauseCheck;
    Failover::EmptyLogs m_emptyLogs;
    /// Since when each promotion of the service has failed because all logs had diverged from the primary's.
    std::map<std::string, Model::Time> m_onlyDivergedSince;
    /// When this or another host was last seen to replace the primary.
    std::map<std::string, Model::Time> m_lastAttempts;
    struct KnownPrimary {
        std::string upstream;
        /// The revision in which it became the primary.
        std::uint64_t since = 0;
    };
    /// The last known primary of each service, also if it is no longer registered.
    std::map<std::string, KnownPrimary> m_knownPrimaries;
    bool m_isStoreReachable = false;
    /// When the acquisition of a lease last failed because the store did not respond.
    std::optional<Model::Time> m_storeFailedAt;
};

}
