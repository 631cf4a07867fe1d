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
#include "proxyhost/primaryguard.h"
#include "proxyhost/statementforwarding.h"
#include "proxyhost/storeevents.h"
#include "proxyhost/usagereports.h"
#include "sessionserver/server.h"
#include "settings/proxysettings.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ProxyHost {

/// A running session proxy: connects the servers for callers and upstreams, the events of the store, the
/// reports of other hosts and the readiness probe. Used on the loop's thread.
class ProxyHost {
public:
    /// `calls` returns calls for one more thread.
    ProxyHost(EventLoop::Loop& loop, const Settings::ProxySettings& settings, SessionServer::Codec codec,
        const std::function<PlatformCalls()>& calls);

    /// Starts to listen on all addresses and to register the host in the store. Returns an error message if
    /// an address cannot be listened on.
    std::optional<std::string> start();
    /// The callbacks through which the store's changes and outages are reported.
    StoreEvents storeEvents();
    void setStoreControl(StoreControl control) { m_storeControl = std::move(control); }
    /// Applies the settings that can change while the process runs; a change of the addresses or of the zone
    /// requires a restart.
    void changeSettings(const Settings::ProxySettings& settings);
    /// Accepts no new sessions, closes the open ones when they are idle, and stops the loop after the last
    /// one or shortly before the shutdown time ends.
    void shutDown();

private:
    void adopt(std::shared_ptr<const Directory::Configuration> configuration);
    void setUpstream(const Directory::Upstream& upstream);
    void removeUpstream(const std::string& id);
    void setZone(const std::string& zone, bool isOut);
    void updateReadiness();
    void continueShutdown();
    void runPeriodicChecks();
    void readFailed(const Directory::FailedRead& failure);
    void checkMissedChanges(StoreTable table, Model::Time now);
    void checkPeerNotifications(Model::Time now);
    void logOverruns(Model::Time now);
    void publish();
    SessionServer::ServerHooks serverHooks();
    Fleet::Hooks fleetHooks();
    void createUsageReports(PlatformCalls calls);
    void acquireUsageWindow(const Usage::Proposal& proposal);
    void sendUsageReport(const UsageReport& report);
    void updateUsage(Model::Time now);
    Failovers::Hooks failoverHooks();
    void registerHost();
    void setHosts(const std::vector<StoreRow>& rows, bool isComplete);
    bool adoptOwnRow(const std::vector<StoreRow>& allRows);
    bool isOwnRowDeleted(const std::vector<StoreRow>& changes) const;
    void deleteStaleHostRow(Model::Time now);

    EventLoop::Loop& m_loop;
    Settings::ProxySettings m_settings;
    Metrics::Registry m_metrics;
    Directory::View m_view;
    Allowance::FleetAllowance m_allowance;
    SessionServer::Server m_server;
    /// Null if statements are not forwarded.
    std::unique_ptr<StatementForwarding> m_forwarding;
    Fleet m_fleet;
    PlatformWorker m_worker;
    /// Null if the promoter takes the role from the previous primary.
    std::unique_ptr<PrimaryGuard> m_guard;
    Failovers m_failovers;
    /// Null if usage is not reported.
    std::unique_ptr<UsageReports> m_usage;
    std::unique_ptr<PlatformWorker> m_usageWorker;
    EventLoop::Timer m_checkTimer;
    Probe::ProbeServer m_probe;
    EventLoop::Timer m_shutdownTimer;
    std::optional<Model::Time> m_shutdownAt;
    /// The last counts of usage were sent; the process ends shortly after.
    bool m_isLastUsageSent = false;
    bool m_hasUpstreams = false;
    bool m_areHostsKnown = false;
    /// The newest configuration that was read before the list of hosts.
    std::shared_ptr<const Directory::Configuration> m_firstConfiguration;
    Directory::MissingUpstreams m_missingUpstreams;
    Directory::StaleHostRows m_staleHostRows;
    /// Content of the host's own row, and its version when it was last written; 0 if it was not written yet.
    HostRow m_ownRow;
    std::uint64_t m_ownRowVersion = 0;
    Model::Time m_storeAvailableSince;
    StoreControl m_storeControl;
    bool m_hasPeerNotifications = false;
    std::map<StoreTable, Directory::MissedChanges> m_missedChanges;
    /// Tables of the store that cannot be watched at present.
    std::set<std::string> m_unavailableTables;
};

}
