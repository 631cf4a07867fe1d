#include "core/proxy/router.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// An upstream that answered that it is not the primary gets no requests for the primary for this long.
    constexpr Model::Duration notPrimaryPause = std::chrono::milliseconds(150);
    /// After a replica lacked a position, reads prefer other upstreams for this long.
    constexpr Model::Duration lagPause = std::chrono::milliseconds(250);
    /// After a failure, reads prefer other upstreams for this long.
    constexpr Model::Duration failurePause = std::chrono::seconds(1);

    /// Costs by which upstreams are ranked for a read; they are added to the expected latency.
    constexpr Model::Duration otherZoneCost = std::chrono::milliseconds(4);
    constexpr Model::Duration handshakeCost = std::chrono::milliseconds(15);
    /// Reads prefer replicas, since only the primary can run writes.
    constexpr Model::Duration primaryCost = std::chrono::milliseconds(25);
    constexpr Model::Duration missingPositionCost = std::chrono::milliseconds(20);
    constexpr Model::Duration recentFailureCost = std::chrono::milliseconds(200);
    /// A statement older than `overdueAge` is overdue if one sent more than `overdueMargin` later has been
    /// answered. Upstreams answer statements roughly in the order in which they were sent; slow ones overlap
    /// with others by less than this.
    constexpr Model::Duration overdueAge = std::chrono::milliseconds(300);
    constexpr Model::Duration overdueMargin = std::chrono::milliseconds(200);
    /// In the moving average of latency, the newest sample has a weight of 1 / latencySamples.
    constexpr int latencySamples = 8;

    bool isRecent(const std::optional<Model::Time>& time, Model::Time now, Model::Duration period)
    {
        return time && now - *time < period;
    }

}

Router::Router(const Directory::View& view, Pool& pool, const Failover::Reachability& reachability,
    std::string zone, PermissionHook mayUsePrimaries)
    : m_view(view)
    , m_pool(pool)
    , m_reachability(reachability)
    , m_zone(std::move(zone))
    , m_mayUsePrimaries(std::move(mayUsePrimaries))
{
}

std::vector<const Directory::Upstream*> Router::candidates(
    const Session& session, const Request& request, Model::Time now) const
{
    std::vector<const Directory::Upstream*> result;
    const std::string& service = session.route->service;
    const auto isExcluded = [&](const Directory::Upstream& upstream) {
        return std::ranges::find(request.excluded, upstream.id) != request.excluded.end();
    };
    const std::optional<Model::LogPosition> required
        = request.target == Target::Fresh ? requiredPosition(session, now) : std::nullopt;
    if (m_balancer && request.target == Target::Fresh) {
        PositionUse& use = m_positionUses[service];
        use.lastRead = now;
        use.maxStaleness = session.route->maxStaleness;
    }
    if (request.target == Target::Primary || !required) {
        for (const Directory::Upstream* upstream : possiblePrimaries(service, now)) {
            if (!isExcluded(*upstream) && mayRun(*upstream, now))
                result.push_back(upstream);
        }
        return result;
    }
    if (m_balancer)
        return balanced(session, request, required, now);
    std::vector<std::pair<Model::Duration, const Directory::Upstream*>> ranked;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(service)) {
        if (m_view.acceptsWork(*upstream) && !isExcluded(*upstream) && mayRun(*upstream, now))
            ranked.emplace_back(cost(*upstream, session, required, now), upstream);
    }
    std::ranges::sort(ranked, {}, &std::pair<Model::Duration, const Directory::Upstream*>::first);
    for (const auto& [cost, upstream] : ranked)
        result.push_back(upstream);
    return result;
}

Model::Duration Router::cost(const Directory::Upstream& upstream, const Session& session,
    const std::optional<Model::LogPosition>& required, Model::Time now) const
{
    Model::Duration total {};
    const auto found = m_upstreamStats.find(upstream.id);
    const UpstreamStats stats = found == m_upstreamStats.end() ? UpstreamStats {} : found->second;
    total += stats.latency * (1 + m_pool.countInUse(upstream.id)) / std::max(1, upstream.slots);
    if (upstream.zone != m_zone)
        total += otherZoneCost;
    const bool isPrimary = primary(upstream.service, now) == &upstream;
    if (isPrimary)
        total += primaryCost;
    if (!m_pool.findIdle(upstream.id, session.customer))
        total += handshakeCost;
    const bool isKnown = stats.position != Model::LogPosition {};
    if (required && isKnown && stats.position < *required && !isPrimary)
        total += missingPositionCost;
    if (isRecent(stats.laggedAt, now, lagPause) || isRecent(stats.failedAt, now, failurePause))
        total += recentFailureCost;
    return total;
}

bool Router::isPrimaryAllowed(const std::string& service, const std::string& upstream, Model::Time now) const
{
    return m_view.isPrimaryAllowed(service, upstream) && (!m_mayUsePrimaries || m_mayUsePrimaries(now));
}

bool Router::mayBePrimary(const Directory::Upstream& upstream, Model::Time now) const
{
    if (!m_view.acceptsWork(upstream) || !isPrimaryAllowed(upstream.service, upstream.id, now))
        return false;
    if (m_reachability.state(upstream.id, now) == Failover::ReachabilityState::Unreachable)
        return false;
    const auto stats = m_upstreamStats.find(upstream.id);
    return stats == m_upstreamStats.end() || !isRecent(stats->second.notPrimaryAt, now, notPrimaryPause);
}

const Directory::Upstream* Router::primary(const std::string& service, Model::Time now) const
{
    const auto confirmed = m_confirmedPrimaries.find(service);
    if (confirmed != m_confirmedPrimaries.end()) {
        const Directory::Upstream* upstream = m_view.findUpstream(confirmed->second);
        if (upstream && mayBePrimary(*upstream, now))
            return upstream;
    }
    const Directory::Upstream* announced = m_view.primaryOf(service);
    return announced && mayBePrimary(*announced, now) ? announced : nullptr;
}

/// Returns the upstreams on which a request for the primary may be tried: the presumed primary, or without
/// one every upstream that may be the primary. An upstream that is not the primary refuses the request
/// without running it.
std::vector<const Directory::Upstream*> Router::possiblePrimaries(
    const std::string& service, Model::Time now) const
{
    if (const Directory::Upstream* current = primary(service, now))
        return { current };
    std::vector<const Directory::Upstream*> result;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(service)) {
        if (mayBePrimary(*upstream, now))
            result.push_back(upstream);
    }
    return result;
}

std::optional<Model::LogPosition> Router::requiredPosition(const Session& session, Model::Time now) const
{
    const Directory::Route& route = *session.route;
    if (route.kind == Directory::RouteKind::Primary)
        return std::nullopt;
    const Freshness* known = freshness(route.service);
    if (!known)
        return std::nullopt;
    std::optional<Model::LogPosition> position = known->required(now, route.maxStaleness);
    if (position && route.kind == Directory::RouteKind::OwnWrites)
        position = std::max(*position, session.lastCommit);
    return position;
}

void Router::observePrimaryRole(
    const std::string& service, const std::string& upstream, Model::LogPosition position, Model::Time sentAt)
{
    m_confirmedPrimaries[service] = upstream;
    m_upstreamStats[upstream].notPrimaryAt.reset();
    m_freshness[service].observe(position, sentAt);
}

void Router::observePosition(const std::string& upstream, Model::LogPosition position, Model::Time now)
{
    UpstreamStats& stats = m_upstreamStats[upstream];
    stats.position = position;
    stats.positionAt = now;
    const Directory::Upstream* entry = m_balancer ? m_view.findUpstream(upstream) : nullptr;
    const Freshness* known = entry ? freshness(entry->service) : nullptr;
    if (!known)
        return;
    // The primary had a later position at that time already.
    const auto passedAt = known->reachedAt({ position.term, position.position + 1 });
    stats.lag = std::max(passedAt ? now - *passedAt : Model::Duration {}, stats.lag * 7 / 8);
}

void Router::observeNotPrimary(const std::string& upstream, Model::Time now)
{
    m_upstreamStats[upstream].notPrimaryAt = now;
    std::erase_if(m_confirmedPrimaries, [&](const auto& primary) { return primary.second == upstream; });
}

void Router::observeLag(const std::string& upstream, Model::Time now)
{
    m_upstreamStats[upstream].laggedAt = now;
}

void Router::observeAnswer(const std::string& upstream, Model::Time sentAt, Model::Time now)
{
    UpstreamStats& stats = m_upstreamStats[upstream];
    stats.latency += (now - sentAt - stats.latency) / latencySamples;
    stats.newestAnswered = std::max(stats.newestAnswered, sentAt);
}

bool Router::isAnswerOverdue(const std::string& upstream, Model::Time sentAt, Model::Time now) const
{
    const auto found = m_upstreamStats.find(upstream);
    return found != m_upstreamStats.end() && now - sentAt > overdueAge
        && found->second.newestAnswered - sentAt > overdueMargin;
}

void Router::observeFailure(const std::string& upstream, Model::Time now)
{
    m_upstreamStats[upstream].failedAt = now;
    const Directory::Upstream* entry = m_balancer ? m_view.findUpstream(upstream) : nullptr;
    if (entry)
        m_balancer->lost(*entry, now);
}

Model::LogPosition Router::position(const std::string& upstream) const
{
    const auto found = m_upstreamStats.find(upstream);
    return found == m_upstreamStats.end() ? Model::LogPosition {} : found->second.position;
}

const Freshness* Router::freshness(const std::string& service) const
{
    const auto found = m_freshness.find(service);
    return found == m_freshness.end() ? nullptr : &found->second;
}

}
