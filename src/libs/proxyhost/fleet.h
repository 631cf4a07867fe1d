#pragma once

#include "core/allowance/reportplan.h"
#include "core/failover/primarywatch.h"
#include "core/proxy/connectionledger.h"
#include "peerbus/peerbus.h"
#include "proxyhost/store.h"

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

/// How this host sees the primary of a service.
struct PrimaryHealth {
    std::string service;
    std::string upstream;
    Failover::ReachabilityState state = Failover::ReachabilityState::Unknown;
    bool isPromoting = false;
};

/// What a host tells the others, beside what its customers have used.
struct OwnState {
    std::vector<PrimaryHealth> healthObservations;
    /// Connections held, by upstream.
    std::map<std::string, int> openConnections;
    /// Version of the configuration in force; 0 for none.
    std::uint64_t configuration = 0;
    bool reachesStore = false;
    /// The newest changes that were read.
    std::uint64_t operatorsVersion = 0;
    std::uint64_t upstreamsVersion = 0;
};

/// Exchanges reports with the other hosts: what customers have used, and how upstreams are seen. Used on the
/// loop's thread.
class Fleet {
public:
    struct Hooks {
        std::function<void(const std::string& service, Failover::HealthObservation)> healthObserved;
        /// A report of another host arrived.
        std::function<void(const std::string& host, bool canPromote)> hostReported;
        /// Another host has read a change of a table.
        std::function<void(StoreTable, std::uint64_t version)> changeReported;
    };

    Fleet(EventLoop::Loop& loop, std::string self, Allowance::FleetAllowance& allowance,
        Proxy::ConnectionLedger& ledger, Hooks hooks);

    /// Returns what went wrong, if anything.
    std::optional<std::string> listen(const std::string& ip, int firstPort, int lastPort);
    /// The address that other hosts connect to, IP:PORT.
    const std::string& address() const { return m_address; }
    /// The version of the host's own row when it was first written; reports are sent from then on.
    void setIncarnation(std::uint64_t incarnation) { m_incarnation = incarnation; }
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Rows of the table of hosts changed; `isComplete` says that there are no others.
    void hostsChanged(const std::vector<StoreRow>& rows, bool isComplete, Model::Time now);
    /// Number of live hosts, this one included.
    void setHostCount(int count);
    /// How often the hosts report.
    const Allowance::ReportPlan& plan() const { return m_plan; }
    /// Whether reports of others arrive.
    bool isReceivingReports(Model::Time now) const;
    bool isReportDue(bool isPrimarySuspected, Model::Time now) const;
    void publish(const OwnState& own, Model::Time now);

private:
    void receive(std::string_view message);

    std::string m_self;
    Allowance::FleetAllowance& m_allowance;
    Proxy::ConnectionLedger& m_ledger;
    Hooks m_hooks;
    Allowance::ReportPlan m_plan;
    PeerBus::Bus m_bus;
    std::string m_address;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::optional<Model::Time> m_lastReportAt;
    /// Address by host.
    std::map<std::string, std::string> m_hosts;
};

}
