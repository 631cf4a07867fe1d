#include "core/proxy/connectionledger.h"
#include "core/proxy/router.h"

#include <algorithm>

namespace Proxy {

namespace {

    constexpr Model::Duration handshakeTime = std::chrono::milliseconds(15);
    /// A read that meets a lagging replica loses a round trip, and the time until its next attempt.
    constexpr Model::Duration lagCost = std::chrono::milliseconds(20);
    /// After a replica lacked a position, it is taken to be behind for this long, if nothing else is known.
    constexpr Model::Duration lagPause = std::chrono::milliseconds(250);
    /// An observed lag counts in full for this long.
    constexpr Model::Duration lagLifetime = std::chrono::seconds(1);
    /// Reads of a service within this time show that it is in use.
    constexpr Model::Duration usePeriod = std::chrono::seconds(1);
    /// A position is observed again when it is still valid for this time: enough for several round trips and
    /// for a check of the engine.
    constexpr Model::Duration observationLead = std::chrono::milliseconds(500);
    constexpr Model::Duration minObservationPeriod = std::chrono::milliseconds(300);

}

void Router::balanceUpstreams(ReadBalancer::ChangeHook changed)
{
    m_balancer.emplace(m_zone, std::move(changed));
}

std::vector<const Directory::Upstream*> Router::balanced(const Session& session, const Request& request,
    const std::optional<Model::LogPosition>& required, Model::Time now) const
{
    std::vector<ReadOption> options;
    const std::string& service = session.route->service;
    const Directory::Upstream* current = primary(service, now);
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(service)) {
        const bool isExcluded = std::ranges::find(request.excluded, upstream->id) != request.excluded.end();
        if (isExcluded || !m_view.acceptsWork(*upstream) || !mayRun(*upstream, now))
            continue;
        ReadOption option;
        option.upstream = upstream;
        option.isPrimary = upstream == current;
        option.isUnreachable
            = m_reachability.state(upstream->id, now) == Failover::ReachabilityState::Unreachable;
        option.inUse = m_pool.countInUse(upstream->id);
        if (!m_pool.findIdle(upstream->id, session.customer))
            option.delay += handshakeTime;
        if (required && !option.isPrimary)
            option.delay += missingTime(*upstream, *required, now);
        options.push_back(option);
    }
    m_balancer->rank(options, session, request, now);
    std::vector<const Directory::Upstream*> result;
    result.reserve(options.size());
    for (const ReadOption& option : options)
        result.push_back(option.upstream);
    return result;
}

/// Returns the cost of the upstream's lag for a read: 0 if its log is expected to have the position.
Model::Duration Router::missingTime(
    const Directory::Upstream& upstream, Model::LogPosition required, Model::Time now) const
{
    const auto found = m_upstreamStats.find(upstream.id);
    if (found == m_upstreamStats.end())
        return {};
    const UpstreamStats& stats = found->second;
    if (stats.position >= required)
        return {};
    const Freshness* known = freshness(upstream.service);
    const auto reachedAt = known ? known->reachedAt(required) : std::nullopt;
    // Without answers the lag says less and less; reads show what it is now.
    const Model::Duration silence = std::max(Model::Duration {}, now - stats.positionAt - lagLifetime);
    const Model::Duration lag = stats.lag - silence;
    const Model::Duration missing = reachedAt ? *reachedAt + lag - now : lag;
    const bool hasLagged = stats.laggedAt && now - *stats.laggedAt < lagPause;
    if (missing <= Model::Duration {} && !hasLagged)
        return {};
    return std::max(missing, Model::Duration {}) + lagCost;
}

void Router::directoryChanged(Model::Time now)
{
    const auto exists
        = [this](const std::string& upstream) { return m_view.findUpstream(upstream) != nullptr; };
    std::erase_if(m_coldUpstreams, [&](const auto& entry) { return !exists(entry.first); });
    if (m_balancer)
        m_balancer->retain(exists);
    for (const auto& [id, upstream] : m_view.upstreams()) {
        const auto found = m_coldUpstreams.find(id);
        const bool isKnown = found != m_coldUpstreams.end() && found->second.startedAt == upstream.startedAt;
        if (!isKnown && upstream.coldFor <= Model::Duration {})
            continue;
        ColdUpstream& cold = m_coldUpstreams[id];
        if (isKnown && cold.revision == upstream.revision)
            continue;
        cold.startedAt = upstream.startedAt;
        cold.revision = upstream.revision;
        cold.until = now + upstream.coldFor;
    }
}

void Router::setHosts(int count, int rank)
{
    m_hostCount = count;
    m_hostRank = rank;
}

std::pair<const Router::ColdUpstream*, double> Router::coldLimit(
    const Directory::Upstream& upstream, Model::Time now) const
{
    const auto cold = m_coldUpstreams.find(upstream.id);
    const auto& configuration = m_view.configuration();
    if (cold == m_coldUpstreams.end() || now >= cold->second.until || !configuration)
        return {};
    const Directory::Service* service = configuration->findService(upstream.service);
    if (!service || service->coldRequestsPerSecond <= 0)
        return {};
    return { &cold->second,
        ColdLimit::shareOf(
            service->coldRequestsPerSecond, m_hostCount, m_hostRank, ConnectionLedger::hashOf(upstream.id)) };
}

bool Router::mayRun(const Directory::Upstream& upstream, Model::Time now) const
{
    if (m_coldUpstreams.empty())
        return true;
    const auto [cold, share] = coldLimit(upstream, now);
    return !cold || cold->limit.mayRun(share, now);
}

Model::Time Router::mayRunAt(const std::string& upstream, Model::Time now) const
{
    const Directory::Upstream* entry = m_coldUpstreams.empty() ? nullptr : m_view.findUpstream(upstream);
    if (!entry)
        return now;
    const auto [cold, share] = coldLimit(*entry, now);
    return cold ? std::min(cold->until, cold->limit.nextAt(share, now)) : now;
}

void Router::observeSent(const std::string& upstream, Model::Time now)
{
    if (m_balancer)
        m_balancer->sent(upstream, now);
    const auto found = m_coldUpstreams.find(upstream);
    if (found != m_coldUpstreams.end() && now < found->second.until)
        found->second.limit.record(now);
}

void Router::observeResult(const std::string& upstream, ResultCode code, Model::Time sentAt, Model::Time now)
{
    const Directory::Upstream* entry = m_balancer ? m_view.findUpstream(upstream) : nullptr;
    if (entry)
        m_balancer->answered(*entry, code, sentAt, now);
}

void Router::observeRoundTrip(const std::string& upstream, Model::Duration time, Model::Time now)
{
    if (m_balancer)
        m_balancer->observeRoundTrip(upstream, time, now);
}

std::vector<std::string> Router::takeDueObservations(Model::Time now)
{
    std::vector<std::string> result;
    for (auto& [service, use] : m_positionUses) {
        if (now - use.lastRead >= usePeriod || now - use.requestedAt < minObservationPeriod)
            continue;
        const Freshness* known = freshness(service);
        const auto observed = known ? known->lastObserved() : std::nullopt;
        const Model::Duration lead = std::min(observationLead, use.maxStaleness / 2);
        if (observed && now - *observed < use.maxStaleness - lead)
            continue;
        if (const Directory::Upstream* current = primary(service, now);
            current && !coldLimit(*current, now).first) {
            use.requestedAt = now;
            result.push_back(current->id);
        }
    }
    return result;
}

}
