#pragma once

#include "core/allowance/fleetallowance.h"
#include "core/directory/missedchanges.h"
#include "core/directory/missingupstreams.h"
#include "core/directory/stalehostrows.h"
#include "core/directory/view.h"
#include "eventloop/loop.h"
#include "eventloop/timer.h"
#include "metrics/registry.h"
#include "probe/probeserver.h"
#include "proxyhost/failovers.h"
#include "proxyhost/fleet.h"
#include "proxyhost/platformworker.h"
#include "proxyhost/storeevents.h"
#include "sessionserver/server.h"
#include "settings/proxysettings.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace ProxyHost {

/// One running session proxy: wires callers, upstreams, the store's reports and the readiness probe
/// together. Used on the loop's thread.
class ProxyHost {
public:
    ProxyHost(EventLoop::Loop& loop, const Settings::ProxySettings& settings, SessionServer::Codec codec,
        PlatformCalls calls);

    /// Listens on all addresses. Returns what went wrong, if anything.
    std::optional<std::string> start();
    /// The hooks through which the store's reports arrive.
    StoreEvents storeEvents();
    void setStoreControl(StoreControl control) { m_storeControl = std::move(control); }
    /// Puts the settings in force that can change while the process runs; a change of addresses takes a
    /// restart.
    void changeSettings(const Settings::ProxySettings& settings);
    /// Takes no new sessions, ends the open ones when they are idle, and then stops the loop.
    void shutDown();

private:
    void adopt(std::shared_ptr<const Directory::Configuration> configuration);
    void setUpstream(const Directory::Upstream& upstream);
    void removeUpstream(const std::string& id);
    void setZone(const std::string& zone, bool isOut);
    void updateReadiness();
    void continueShutdown();
    void runPeriodicChecks();
    void checkMissedChanges(StoreTable table, Model::Time now);
    void checkPeerNotifications(Model::Time now);
    void publish();
    void registerHost();
    void setHosts(const std::vector<StoreRow>& rows, bool isComplete);
    void deleteStaleHostRow(Model::Time now);

    EventLoop::Loop& m_loop;
    Settings::ProxySettings m_settings;
    Metrics::Registry m_metrics;
    Directory::View m_view;
    Allowance::FleetAllowance m_allowance;
    SessionServer::Server m_server;
    Fleet m_fleet;
    PlatformWorker m_worker;
    Failovers m_failovers;
    EventLoop::Timer m_checkTimer;
    Probe::ProbeServer m_probe;
    EventLoop::Timer m_shutdownTimer;
    std::optional<Model::Time> m_shutdownAt;
    bool m_hasUpstreams = false;
    Directory::MissingUpstreams m_missingUpstreams;
    Directory::StaleHostRows m_staleHostRows;
    /// What the host's own row holds, and the version in which it was written last; 0 for not yet.
    std::string m_ownRow;
    std::uint64_t m_ownRowVersion = 0;
    Model::Time m_storeAvailableSince;
    StoreControl m_storeControl;
    bool m_hasPeerNotifications = false;
    std::map<StoreTable, Directory::MissedChanges> m_missedChanges;
    /// Tables of the store that cannot be followed now.
    std::set<std::string> m_unavailableTables;
};

}
