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
    /// No upstream leads.
    Missing,
    /// The one that leads answers nobody.
    Unreachable,
    /// The one that leads is leaving, or its zone was taken out.
    Leaving,
};

std::string_view promotionReasonName(PromotionReason reason);

/// How another host sees the primary of a service.
struct HealthObservation {
    std::string host;
    /// Id of the upstream that the opinion is about.
    std::string upstream;
    ReachabilityState state = ReachabilityState::Unknown;
    bool isPromoting = false;
    Model::Time reportedAt;
    /// Since when the host has been promoting without a break; set by the watch.
    Model::Time promotingSince;
};

/// Decides when this host has to replace the primary of a service. Used on one thread.
class PrimaryWatch {
public:
    PrimaryWatch(const Directory::View& view, const Reachability& reachability, std::string self);

    void setHealthObservation(const std::string& service, HealthObservation observation);
    /// A report of another host arrived; `canPromote` says whether the host could replace a primary.
    void setHost(const std::string& host, bool canPromote, Model::Time now);
    /// How often the hosts report.
    void setReportPeriod(Model::Duration period) { m_reportPeriod = period; }
    /// Number of hosts that are expected to send opinions, this one included.
    void setHostCount(int count) { m_hostCount = count; }

    /// The reason for this host to replace the primary now, if there is one. The other hosts wait a little
    /// longer, each a different time, so that usually one acts.
    std::optional<PromotionReason> due(const std::string& service, Model::Time now);
    /// Whether this host or another one has doubts about the primary of the service. All hosts then have to
    /// tell soon how they see it.
    bool isPrimarySuspected(const std::string& service, Model::Time now) const;
    /// Since when another host is replacing the primary; nothing if none is.
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
    int rank(const std::string& service, Model::Time now) const;

    const Directory::View& m_view;
    const Reachability& m_reachability;
    std::string m_self;
    int m_hostCount = 1;
    Model::Duration m_reportPeriod = std::chrono::milliseconds(200);
    std::map<std::string, Host> m_hosts;
    std::map<std::string, std::map<std::string, HealthObservation>> m_healthObservations;
    std::map<std::string, Suspicion> m_suspicions;
};

}
