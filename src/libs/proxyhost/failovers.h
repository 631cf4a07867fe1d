#pragma once

#include "core/directory/view.h"
#include "core/failover/primarywatch.h"
#include "core/failover/promotion.h"
#include "eventloop/timer.h"
#include "proxyhost/fleet.h"
#include "proxyhost/platformworker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace SessionServer {
class Server;
}

namespace ProxyHost {

/// Watches the primaries of all services and replaces them where this host has to. Used on the loop's
/// thread.
class Failovers {
public:
    /// `leaseAcquired` is called when the other hosts should hear of a promotion at once.
    Failovers(EventLoop::Loop& loop, const Directory::View& view, SessionServer::Server& server,
        PlatformWorker& worker, std::string self, std::function<void()> leaseAcquired);

    void setHealthObservation(const std::string& service, Failover::HealthObservation observation);
    void setHost(const std::string& host, bool canPromote);
    void setHostCount(int count) { m_watch.setHostCount(count); }
    void setReportPeriod(Model::Duration period) { m_watch.setReportPeriod(period); }
    /// Without the store, no duty can be taken.
    void setStoreReachable(bool isReachable) { m_isStoreReachable = isReachable; }
    /// Starts what is due and moves on what runs.
    void update();
    /// Whether this host could take a duty now.
    bool canPromote(Model::Time now) const;
    /// Whether a host doubts that a service has a primary that answers.
    bool isAnyPrimarySuspected(Model::Time now) const;
    /// How this host sees the primaries, for the other hosts; only those in question, or all.
    enum class ObservationScope : std::uint8_t { Suspected, All };
    std::vector<PrimaryHealth> healthObservations(ObservationScope scope) const;

private:
    void start(const std::string& service, Failover::PromotionReason reason);
    void advance(const std::string& service);
    void requestStatus(const std::string& service, const std::string& upstream, std::uint64_t stepDownTerm);
    void noticePrimary(const std::string& service);
    std::optional<Model::Time> primaryExpected(const std::string& service, Model::Time now) const;
    bool isPausing(const std::string& service, Model::Time now) const;

    EventLoop::Loop& m_loop;
    const Directory::View& m_view;
    SessionServer::Server& m_server;
    PlatformWorker& m_worker;
    std::string m_self;
    std::function<void()> m_leaseAcquired;
    /// What an upstream took to lead after its order.
    Model::Duration m_promotionDuration;
    Failover::PrimaryWatch m_watch;
    EventLoop::Timer m_timer;
    std::map<std::string, std::unique_ptr<Failover::Promotion>> m_promotions;
    std::map<std::string, Model::Time> m_lastEnded;
    /// The revision with which each service's primary became that.
    std::map<std::string, std::uint64_t> m_knownPrimaryRevisions;
    bool m_isStoreReachable = false;
    /// The store did not answer when a duty was to be taken.
    std::optional<Model::Time> m_storeFailedAt;
};

}
