#include "core/failover/primarywatch.h"

#include "core/failover/replicareturntime.h"
#include "core/model/rendezvous.h"

#include <algorithm>

namespace Failover {

namespace {

    /// Health observations older than this are ignored.
    constexpr Model::Duration observationLifetime = std::chrono::milliseconds(900);
    /// A host whose report is overdue by more than this is not ranked.
    constexpr Model::Duration reportDelay = std::chrono::milliseconds(700);
    /// The entries of a service's upstreams arrive one by one, so that the primary's may still follow.
    constexpr Model::Duration missingDelay = std::chrono::milliseconds(500);
    /// Time for a host of higher rank to acquire the promotion lease and report it.
    constexpr Model::Duration rankDelay = std::chrono::milliseconds(50);
    constexpr int maxRank = 5;

}

std::string_view promotionReasonName(PromotionReason reason)
{
    switch (reason) {
    case PromotionReason::Missing:
        return "missing";
    case PromotionReason::Unreachable:
        return "unreachable";
    case PromotionReason::Leaving:
        return "leaving";
    case PromotionReason::Unfinished:
        return "unfinished";
    }
    return "";
}

PrimaryWatch::PrimaryWatch(const Directory::View& view, const Reachability& reachability, std::string self)
    : m_view(view)
    , m_reachability(reachability)
    , m_self(std::move(self))
{
}

void PrimaryWatch::setHealthObservation(const std::string& service, HealthObservation observation)
{
    HealthObservation& known = m_healthObservations[service][observation.host];
    observation.promotingSince = known.isPromoting ? known.promotingSince : observation.reportedAt;
    known = std::move(observation);
}

void PrimaryWatch::setHost(const std::string& host, bool canPromote, Model::Time now)
{
    m_hosts.insert_or_assign(host, Host { canPromote, now });
    std::erase_if(m_hosts,
        [&](const auto& entry) { return now - entry.second.lastReportAt > m_reportPeriod + reportDelay; });
}

bool PrimaryWatch::isPrimarySuspected(const std::string& service, Model::Time now) const
{
    if (reason(service, now, Evidence::OwnOnly))
        return true;
    const auto healthObservations = m_healthObservations.find(service);
    if (healthObservations == m_healthObservations.end())
        return false;
    return std::ranges::any_of(healthObservations->second, [&](const auto& entry) {
        const HealthObservation& observation = entry.second;
        return now - observation.reportedAt <= observationLifetime
            && (observation.isPromoting || observation.state == ReachabilityState::Unreachable);
    });
}

std::optional<PromotionReason> PrimaryWatch::due(const std::string& service, Model::Time now)
{
    const auto found = reason(service, now, Evidence::All);
    // An attempt of the smaller part of a partitioned fleet would end the use of the primary by the others
    // once the partition heals.
    if (!found || (m_needsMajority && !isMajorityReporting(now))) {
        m_suspicions.erase(service);
        return std::nullopt;
    }
    const auto [entry, isNew] = m_suspicions.try_emplace(service, Suspicion { *found, now });
    if (!isNew && entry->second.reason != *found)
        entry->second = { *found, now };
    const Model::Duration base = *found == PromotionReason::Missing ? missingDelay : Model::Duration {};
    if (now - entry->second.since < base + rankDelay * rank(service, now))
        return std::nullopt;
    if (otherHostPromotingSince(service, now) || !knowsReplicas(service, now))
        return std::nullopt;
    return found;
}

/// Whether this host knows all replicas that may have acknowledged commits of the service. After its start,
/// it does not know those that were removed from the directory before.
bool PrimaryWatch::knowsReplicas(const std::string& service, Model::Time now) const
{
    const auto& configuration = m_view.configuration();
    const Directory::Service* settings = configuration ? configuration->findService(service) : nullptr;
    if (!settings || settings->synchronousReplicas == 0)
        return true;
    return m_upstreamsKnownSince && now - *m_upstreamsKnownSince >= replicaReturnTime;
}

std::optional<PromotionReason> PrimaryWatch::reason(
    const std::string& service, Model::Time now, Evidence evidence) const
{
    const auto upstreams = m_view.upstreamsOf(service);
    const Directory::Upstream* primary = m_view.primaryOf(service);
    const bool hasCandidate = std::ranges::any_of(upstreams, [&](const Directory::Upstream* upstream) {
        return upstream != primary && m_view.acceptsWork(*upstream);
    });
    if (!hasCandidate)
        return std::nullopt;
    if (!primary)
        return PromotionReason::Missing;
    if (!m_view.acceptsWork(*primary))
        return PromotionReason::Leaving;
    if (m_reachability.state(primary->id, now) != ReachabilityState::Unreachable)
        return std::nullopt;
    if (evidence == Evidence::All && !isUnreachableForOthers(service, primary->id, now))
        return std::nullopt;
    return PromotionReason::Unreachable;
}

/// Whether at least half of the hosts, including this one, have reported recently and none of them reaches
/// the upstream. With fewer reports, this host may be the partitioned one.
bool PrimaryWatch::isUnreachableForOthers(
    const std::string& service, const std::string& upstream, Model::Time now) const
{
    const auto healthObservations = m_healthObservations.find(service);
    int reportingHosts = 1;
    if (healthObservations != m_healthObservations.end()) {
        for (const auto& [host, observation] : healthObservations->second) {
            if (now - observation.reportedAt > observationLifetime)
                continue;
            ++reportingHosts;
            if (observation.upstream == upstream && observation.state == ReachabilityState::Reachable)
                return false;
        }
    }
    return reportingHosts * 2 >= m_hostCount;
}

std::optional<Model::Time> PrimaryWatch::otherHostPromotingSince(
    const std::string& service, Model::Time now) const
{
    const auto healthObservations = m_healthObservations.find(service);
    if (healthObservations == m_healthObservations.end())
        return std::nullopt;
    std::optional<Model::Time> since;
    for (const auto& [host, observation] : healthObservations->second) {
        const bool isActive = observation.isPromoting && now - observation.reportedAt <= observationLifetime;
        if (isActive && (!since || observation.promotingSince < *since))
            since = observation.promotingSince;
    }
    return since;
}

bool PrimaryWatch::isMajorityReporting(Model::Time now) const
{
    const auto reporting = std::ranges::count_if(m_hosts,
        [&](const auto& entry) { return now - entry.second.lastReportAt <= m_reportPeriod + reportDelay; });
    return (reporting + 1) * 2 > m_hostCount;
}

/// Number of hosts that precede this one in an order by hash that differs between services, at most
/// `maxRank`.
int PrimaryWatch::rank(const std::string& service, Model::Time now) const
{
    const std::uint64_t own = Model::stableHash(m_self + service);
    const auto higherRanked = std::ranges::count_if(m_hosts, [&](const auto& entry) {
        return now - entry.second.lastReportAt <= m_reportPeriod + reportDelay && entry.second.canPromote
            && Model::stableHash(entry.first + service) > own;
    });
    return std::min(static_cast<int>(higherRanked), maxRank);
}

}
