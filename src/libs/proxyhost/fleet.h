#pragma once

#include "core/allowance/countingplan.h"
#include "core/allowance/reportedversions.h"
#include "core/allowance/reportplan.h"
#include "core/failover/primarywatch.h"
#include "core/proxy/connectionledger.h"
#include "peerbus/peerbus.h"
#include "proxyhost/primaryguard.h"
#include "proxyhost/store.h"
#include "proxyhost/usagemessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace EventLoop {
class Loop;
}

namespace ProxyHost {

/// Health of a service's primary as observed by this host.
struct PrimaryHealth {
    std::string service;
    /// Id of the primary; empty if the service has none.
    std::string upstream;
    Failover::ReachabilityState state = Failover::ReachabilityState::Unknown;
    /// Whether this host is replacing the primary.
    bool isPromoting = false;
};

/// State that a host reports to the others in addition to its customers' usage.
struct OwnState {
    std::vector<PrimaryHealth> healthObservations;
    /// Number of open connections by id of the upstream.
    std::map<std::string, int> openConnections;
    /// Version of the configuration in force; 0 if there is none.
    std::uint64_t configuration = 0;
    /// Whether the host reaches the store, as it has to for a promotion.
    bool reachesStore = false;
    /// Versions of the newest changes that the host has read of the operators' and the upstreams' tables.
    std::uint64_t operatorsVersion = 0;
    std::uint64_t upstreamsVersion = 0;
    /// Empty if the promoter checks fencing tokens.
    FenceReport fences;
};

/// Exchanges reports with the other hosts: the usage of customers, the health of primaries, open connections
/// and the versions of changes read from the store. In a large fleet, also sends counts of customers'
/// operations between the reports. Used on the loop's thread.
class Fleet {
public:
    struct Hooks {
        /// Another host has reported the health of a service's primary.
        std::function<void(const std::string& service, Failover::HealthObservation)> healthObserved;
        /// A report of a host arrived; `canPromote` is set if that host reaches the store.
        std::function<void(const std::string& host, bool canPromote)> hostReported;
        /// A host has reported the version of the newest change of a table that it has read.
        std::function<void(StoreTable, std::uint64_t version)> changeReported;
        /// A host has reported the allowed primaries that it knows; empty if they are not used.
        std::function<void(const std::string& host, std::uint64_t incarnation, std::uint64_t sequence,
            const FenceReport& fences, Model::Time now)>
            fencesReported;
        /// A message about usage arrived; empty if usage is not reported.
        std::function<void(const UsageMessage&, Model::Time now)> usageReceived;
        /// The wall clock of a host showed this time, in microseconds since 1970, when it sent its report.
        std::function<void(const std::string& host, std::int64_t wallClock, Model::Time now)>
            wallClockReported;
    };

    Fleet(EventLoop::Loop& loop, std::string self, Allowance::FleetAllowance& allowance,
        Proxy::ConnectionLedger& ledger, Hooks hooks);

    /// Listens on the first free port of the range. Returns an error message if there is none.
    std::optional<std::string> listen(const std::string& ip, int firstPort, int lastPort);
    /// IP:PORT that other hosts connect to; valid after `listen`.
    const std::string& address() const { return m_address; }
    /// Sets the incarnation of this process: the version of the host's row when the process first wrote it.
    /// Reports are sent only once it is set.
    void setIncarnation(std::uint64_t incarnation, Model::Time now);
    std::uint64_t incarnation() const { return m_incarnation; }
    /// Sequence number of the next report.
    std::uint64_t nextSequence() const { return m_sequence + 1; }

    /// Rows of the hosts table changed; `isComplete` is set if these are all rows of the table.
    void hostsChanged(const std::vector<StoreRow>& rows, bool isComplete, Model::Time now);
    /// The other registered hosts.
    std::vector<std::string> hostNames() const;
    /// The number of other registered hosts whose last report had an older configuration than `version`.
    int hostsWithOlderConfiguration(std::uint64_t version) const;
    /// Sets the number of live hosts, this one included.
    void setHostCount(int count);
    /// The schedule of this host's reports.
    const Allowance::ReportPlan& plan() const { return m_plan; }
    /// Whether a report of another host arrived within the last few report periods.
    bool isReceivingReports(Model::Time now) const;
    /// Whether a report is due; a suspected primary is reported sooner.
    bool isReportDue(bool isPrimarySuspected, Model::Time now) const;
    /// Sends a report to all other hosts. Does nothing before the incarnation is set.
    void publish(const OwnState& own, Model::Time now);
    /// Sends the counts of customers' operations to the counting hosts, and low balances to all hosts. Does
    /// nothing if the reports are frequent, or before the incarnation is set. Has to be called several times
    /// a second.
    void sendCounts(Model::Time now);
    /// Sends a message about usage to one host, or to all if `host` is empty.
    void sendUsage(const std::string& host, const UsageMessage& message);
    /// Stops to receive from hosts that were removed a while ago.
    void removeDeparted(Model::Time now);

    /// Handles a report, or counts of customers' operations, of another host. Invalid ones are logged, and
    /// values that no host sends are left out.
    void receive(std::string_view message);
    void receiveCounts(std::string_view message);

private:
    /// A host that has removed its row to shut down. It still sends its counts of usage.
    struct Departed {
        std::string address;
        Model::Time until;
    };

    void noteIncarnation(const std::string& host, std::uint64_t incarnation);
    void updateCountingHosts(Model::Time now);
    void receiveUsage(std::string_view message);
    void connectToHosts();
    void sendBalances(Model::Time now);

    std::string m_self;
    Allowance::FleetAllowance& m_allowance;
    Proxy::ConnectionLedger& m_ledger;
    Hooks m_hooks;
    Allowance::ReportPlan m_plan;
    Allowance::CountingPlan m_countingPlan;
    std::optional<Model::Time> m_countingHostsUpdatedAt;
    std::optional<Model::Time> m_countsSentAt;
    PeerBus::Bus m_bus;
    std::string m_address;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    /// The newest incarnation of each other host that has reported.
    std::map<std::string, std::uint64_t> m_incarnations;
    std::optional<Model::Time> m_lastReportAt;
    /// IP:PORT of the other hosts by host name.
    std::map<std::string, std::string> m_hosts;
    /// By host name; only if usage is reported.
    std::map<std::string, Departed> m_departed;
    Allowance::ReportedVersions m_versions;
};

}
