#pragma once

#include "core/directory/view.h"
#include "core/failover/reachability.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Failover {

enum class PromotionReason : std::uint8_t {
    /// The service has no primary.
    Missing,
    /// The primary is unreachable by the evidence of the hosts.
    Unreachable,
    /// The primary is draining, or its zone was taken out of service.
    Leaving,
    /// The primary keeps its role, but an earlier promotion may still take place, or has left replicas
    /// paused.
    Unfinished,
};

std::string_view promotionReasonName(PromotionReason reason);

/// One host's reported reachability of the primary of a service.
struct HealthObservation {
    std::string host;
    /// Id of the observed upstream, the primary by that host's directory.
    std::string upstream;
    ReachabilityState state = ReachabilityState::Unknown;
    bool isPromoting = false;
    Model::Time reportedAt;
    /// When the host was first seen promoting, without an interruption since; set by `PrimaryWatch`.
    Model::Time promotingSince;
};

/// Decides when this host has to replace the primary of a service, by its own evidence and the health
/// observations of the other hosts. Used on one thread.
class PrimaryWatch {
public:
    PrimaryWatch(const Directory::View& view, const Reachability& reachability, std::string self);

    void setHealthObservation(const std::string& service, HealthObservation observation);
    /// Records a report of another host; `canPromote` says whether that host could replace a primary.
    void setHost(const std::string& host, bool canPromote, Model::Time now);
    /// The period in which the hosts report.
    void setReportPeriod(Model::Duration period) { m_reportPeriod = period; }
    /// Whether a promotion needs the acknowledgements of a majority of the hosts. If so, none is due while
    /// fewer hosts report.
    void setNeedsMajority(bool needsMajority) { m_needsMajority = needsMajority; }
    /// Records that all upstreams which are registered at `now` are known. The first call counts.
    void setUpstreamsKnown(Model::Time now) { m_upstreamsKnownSince = m_upstreamsKnownSince.value_or(now); }
    /// Number of live hosts, including this one.
    void setHostCount(int count) { m_hostCount = count; }

    /// Returns the reason for this host to replace the primary now, or `nullopt`. Each host waits for a
    /// different delay, by its rank, so that usually only one acts.
    std::optional<PromotionReason> due(const std::string& service, Model::Time now);
    /// Whether this host has a reason to replace the primary by its own evidence, or another host reports it
    /// unreachable or is replacing it. All hosts then have to report their health observations soon.
    bool isPrimarySuspected(const std::string& service, Model::Time now) const;
    /// Since when another host has been replacing the primary; `nullopt` if no other host is.
    std::optional<Model::Time> otherHostPromotingSince(const std::string& service, Model::Time now) const;

private:
    struct Suspicion {
        PromotionReason reason = PromotionReason::Missing;
        Model::Time since;
    };
    struct Host {
        bool canPromote = false;
        Model::Time lastReportAt;
    };

    enum class Evidence : std::uint8_t { OwnOnly, All };

    std::optional<PromotionReason> reason(
        const std::string& service, Model::Time now, Evidence evidence) const;
    bool isUnreachableForOthers(
        const std::string& service, const std::string& upstream, Model::Time now) const;
    bool isMajorityReporting(Model::Time now) const;
    bool knowsReplicas(const std::string& service, Model::Time now) const;
    int rank(const std::string& service, Model::Time now) const;

    const Directory::View& m_view;
    const Reachability& m_reachability;
    std::string m_self;
    int m_hostCount = 1;
    bool m_needsMajority = false;
    std::optional<Model::Time> m_upstreamsKnownSince;
    Model::Duration m_reportPeriod = std::chrono::milliseconds(200);
    std::map<std::string, Host> m_hosts;
    std::map<std::string, std::map<std::string, HealthObservation>> m_healthObservations;
    std::map<std::string, Suspicion> m_suspicions;
};

}
