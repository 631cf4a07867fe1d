#include "core/proxy/router.h"

#include <algorithm>

namespace Proxy {

namespace {

    /// An upstream that does not lead is not asked again for the primary's work before this.
    constexpr Model::Duration deniedLeadPause = std::chrono::milliseconds(150);
    /// After a replica lacked a position, reads prefer other upstreams for this long.
    constexpr Model::Duration lagPause = std::chrono::milliseconds(250);
    /// After a failure, reads prefer other upstreams for this long.
    constexpr Model::Duration failurePause = std::chrono::seconds(1);

    constexpr Model::Duration otherZoneCost = std::chrono::milliseconds(4);
    constexpr Model::Duration handshakeCost = std::chrono::milliseconds(15);
    /// Replicas go first, since only the primary can write.
    constexpr Model::Duration primaryCost = std::chrono::milliseconds(25);
    constexpr Model::Duration behindCost = std::chrono::milliseconds(20);
    constexpr Model::Duration troubleCost = std::chrono::milliseconds(200);
    /// Statements of an upstream are answered about in the order in which they were sent; those that take
    /// long overlap with others by less than this.
    constexpr Model::Duration overdueAge = std::chrono::milliseconds(300);
    constexpr Model::Duration overdueLead = std::chrono::milliseconds(200);
    /// Weight of the newest sample in the moving average of latency: one in this many.
    constexpr int latencySamples = 8;

    bool isRecent(const std::optional<Model::Time>& time, Model::Time now, Model::Duration period)
    {
        return time && now - *time < period;
    }

}

Router::Router(
    const Directory::View& view, Pool& pool, const Failover::Reachability& reachability, std::string zone)
    : m_view(view)
    , m_pool(pool)
    , m_reachability(reachability)
    , m_zone(std::move(zone))
{
}

std::vector<const Directory::Upstream*> Router::candidates(
    const Session& session, const Request& request, Model::Time now) const
{
    std::vector<const Directory::Upstream*> result;
    const std::string& service = session.route->service;
    const auto isAvoided = [&](const Directory::Upstream& upstream) {
        return std::ranges::find(request.avoided, upstream.id) != request.avoided.end();
    };
    const std::optional<Model::LogPosition> required
        = request.target == Target::Fresh ? requiredPosition(session, now) : std::nullopt;
    if (request.target == Target::Primary || !required) {
        for (const Directory::Upstream* upstream : possiblePrimaries(service, now)) {
            if (!isAvoided(*upstream))
                result.push_back(upstream);
        }
        return result;
    }
    std::vector<std::pair<Model::Duration, const Directory::Upstream*>> ranked;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(service)) {
        if (m_view.acceptsWork(*upstream) && !isAvoided(*upstream))
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
    const auto found = m_knowledge.find(upstream.id);
    const Knowledge knowledge = found == m_knowledge.end() ? Knowledge {} : found->second;
    total += knowledge.latency * (1 + m_pool.countInUse(upstream.id)) / std::max(1, upstream.slots);
    if (upstream.zone != m_zone)
        total += otherZoneCost;
    const bool isPrimary = primary(upstream.service, now) == &upstream;
    if (isPrimary)
        total += primaryCost;
    if (!m_pool.findIdle(upstream.id, session.customer))
        total += handshakeCost;
    const bool isKnown = knowledge.position != Model::LogPosition {};
    if (required && isKnown && knowledge.position < *required && !isPrimary)
        total += behindCost;
    if (isRecent(knowledge.laggedAt, now, lagPause) || isRecent(knowledge.failedAt, now, failurePause))
        total += troubleCost;
    return total;
}

bool Router::mayLead(const Directory::Upstream& upstream, Model::Time now) const
{
    if (!m_view.acceptsWork(upstream))
        return false;
    if (m_reachability.state(upstream.id, now) == Failover::ReachabilityState::Unreachable)
        return false;
    const auto knowledge = m_knowledge.find(upstream.id);
    return knowledge == m_knowledge.end() || !isRecent(knowledge->second.deniedLeadAt, now, deniedLeadPause);
}

const Directory::Upstream* Router::primary(const std::string& service, Model::Time now) const
{
    const auto proven = m_provenLeads.find(service);
    if (proven != m_provenLeads.end()) {
        const Directory::Upstream* upstream = m_view.findUpstream(proven->second);
        if (upstream && mayLead(*upstream, now))
            return upstream;
    }
    const Directory::Upstream* claimant = m_view.primaryOf(service);
    return claimant && mayLead(*claimant, now) ? claimant : nullptr;
}

/// Where a request for the primary may be tried. An upstream that does not lead refuses it without running
/// it, so that without a known primary the others can be asked.
std::vector<const Directory::Upstream*> Router::possiblePrimaries(
    const std::string& service, Model::Time now) const
{
    if (const Directory::Upstream* leader = primary(service, now))
        return { leader };
    std::vector<const Directory::Upstream*> result;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(service)) {
        if (mayLead(*upstream, now))
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

void Router::observeLead(
    const std::string& service, const std::string& upstream, Model::LogPosition position, Model::Time sentAt)
{
    m_provenLeads[service] = upstream;
    m_knowledge[upstream].deniedLeadAt.reset();
    m_freshness[service].observe(position, sentAt);
}

void Router::observePosition(const std::string& upstream, Model::LogPosition position)
{
    m_knowledge[upstream].position = position;
}

void Router::observeNoLead(const std::string& upstream, Model::Time now)
{
    m_knowledge[upstream].deniedLeadAt = now;
    std::erase_if(m_provenLeads, [&](const auto& lead) { return lead.second == upstream; });
}

void Router::observeLag(const std::string& upstream, Model::Time now)
{
    m_knowledge[upstream].laggedAt = now;
}

void Router::observeAnswer(const std::string& upstream, Model::Time sentAt, Model::Time now)
{
    Knowledge& knowledge = m_knowledge[upstream];
    knowledge.latency += (now - sentAt - knowledge.latency) / latencySamples;
    knowledge.newestAnswered = std::max(knowledge.newestAnswered, sentAt);
}

bool Router::isAnswerOverdue(const std::string& upstream, Model::Time sentAt, Model::Time now) const
{
    const auto found = m_knowledge.find(upstream);
    return found != m_knowledge.end() && now - sentAt > overdueAge
        && found->second.newestAnswered - sentAt > overdueLead;
}

void Router::observeFailure(const std::string& upstream, Model::Time now)
{
    m_knowledge[upstream].failedAt = now;
}

Model::LogPosition Router::position(const std::string& upstream) const
{
    const auto found = m_knowledge.find(upstream);
    return found == m_knowledge.end() ? Model::LogPosition {} : found->second.position;
}

const Freshness* Router::freshness(const std::string& service) const
{
    const auto found = m_freshness.find(service);
    return found == m_freshness.end() ? nullptr : &found->second;
}

}
