#include "proxyhost/failovers.h"

#include "eventloop/loop.h"
#include "logging/log.h"
#include "sessionserver/server.h"

#include <algorithm>
#include <utility>

namespace ProxyHost {

namespace {

    /// How often running promotions are advanced; their steps wait for answers that take a few ms.
    constexpr Model::Duration stepPeriod = std::chrono::milliseconds(15);
    /// Time from an accepted promotion request to the end of the promotion, until a promotion has shown it.
    constexpr Model::Duration usualPromotionDuration = std::chrono::milliseconds(700);
    /// An acquisition of the lease that fails after more than this shows that the store is unavailable, not
    /// that another host was faster.
    constexpr Model::Duration storeResponseLimit = std::chrono::milliseconds(500);
    /// No promotion is started for this long after the store did not respond.
    constexpr Model::Duration storeFailurePause = std::chrono::seconds(2);
    /// The directory shows the result of a promotion with a delay; until then, no other one is started.
    constexpr Model::Duration pauseAfterEnd = std::chrono::milliseconds(400);

    /// A crashed primary is back with its log within this time, if ever.
    constexpr Model::Duration divergedLogPatience = std::chrono::seconds(30);

    /// Time between two checks whether a replica has received enough to take over from a leaving primary.
    constexpr Model::Duration replicaCheckPeriod = std::chrono::seconds(2);
    /// Time between two attempts to finish an earlier promotion.
    constexpr Model::Duration unfinishedRetryPeriod = std::chrono::seconds(2);

    std::string join(const std::vector<std::string>& words)
    {
        std::string text;
        for (const std::string& word : words)
            text += (text.empty() ? "" : " ") + word;
        return text;
    }

    /// One entry for each upstream, as in `db-1=replica@3.1209`; `?` if it has not responded.
    std::string describe(const Failover::UpstreamStatuses& statuses)
    {
        std::string text;
        for (const auto& [upstream, status] : statuses) {
            text += (text.empty() ? "" : " ") + upstream + "=";
            if (!status) {
                text += "?";
                continue;
            }
            text += status->role == Directory::Role::Primary ? "primary" : "replica";
            text += "@" + std::to_string(status->received.term) + "."
                + std::to_string(status->received.position);
        }
        return text;
    }

}

Failovers::Failovers(EventLoop::Loop& loop, const Directory::View& view, SessionServer::Server& server,
    PlatformWorker& worker, std::string self, Hooks hooks)
    : m_loop(loop)
    , m_view(view)
    , m_server(server)
    , m_worker(worker)
    , m_self(self)
    , m_hooks(std::move(hooks))
    , m_promotionDuration(usualPromotionDuration)
    , m_watch(view, server.engine().reachability(), self)
    , m_timer(loop, [this] { update(); })
    , m_pauseCheck(std::move(self))
{
    m_watch.setNeedsMajority(m_hooks.isFenceEffective != nullptr);
}

void Failovers::setHealthObservation(const std::string& service, Failover::HealthObservation observation)
{
    m_watch.setHealthObservation(service, std::move(observation));
}

void Failovers::setHostCount(int count)
{
    m_watch.setHostCount(count);
    m_pauseCheck.setHostCount(count);
}

void Failovers::upstreamsRead() { m_watch.setUpstreamsKnown(EventLoop::now()); }

void Failovers::setHost(const std::string& host, bool canPromote)
{
    m_watch.setHost(host, canPromote, EventLoop::now());
}

bool Failovers::isAnyPrimarySuspected(Model::Time now) const
{
    if (!m_view.configuration())
        return false;
    return std::ranges::any_of(m_view.configuration()->services,
        [&](const auto& service) { return m_watch.isPrimarySuspected(service.first, now); });
}

void Failovers::update()
{
    if (!m_view.configuration())
        return;
    const Model::Time now = EventLoop::now();
    for (const auto& [service, settings] : m_view.configuration()->services) {
        checkPrimary(service);
        if (m_promotions.contains(service) || m_watch.otherHostPromotingSince(service, now))
            m_lastAttempts[service] = now;
        if (m_promotions.contains(service)) {
            advance(service);
        } else if (canPromote(now) && !isPausing(service, now)) {
            const auto reason = dueReason(service, now);
            if (reason && !isWaitingForReplicas(service, *reason, now))
                start(service, *reason);
        }
        m_server.engine().setPrimaryExpected(service, primaryExpected(service, now));
    }
    if (!m_promotions.empty())
        m_timer.start(stepPeriod);
}

/// Resets the reachability of an upstream that has become the primary, since its earlier records say nothing
/// about it in this role, and checks whether the primary responds at all if it leaves requests unanswered.
void Failovers::checkPrimary(const std::string& service)
{
    const Directory::Upstream* primary = m_view.primaryOf(service);
    if (!primary)
        return;
    m_onlyDivergedSince.erase(service);
    KnownPrimary& known = m_knownPrimaries[service];
    if (known.since != primary->primarySince) {
        m_server.engine().resetReachability(primary->id);
        m_unfinished.erase(service);
    }
    known = { primary->id, primary->primarySince };
    m_server.probeIfUnresponsive(
        primary->id, [this, service](const std::optional<Failover::UpstreamStatus>& status) {
            if (status && status->role == Directory::Role::Primary)
                checkForPausedReplicas(service);
        });
}

/// The primary responds, but requests wait there. Where they wait for replicas, these may have been left
/// paused by a host that ended during a promotion.
void Failovers::checkForPausedReplicas(const std::string& service)
{
    const Model::Time now = EventLoop::now();
    const Directory::Service* settings = m_view.configuration()->findService(service);
    if (!settings || settings->synchronousReplicas == 0 || !m_pauseCheck.isDue(service, now))
        return;
    for (const Directory::Upstream* upstream : m_view.upstreamsOf(service)) {
        m_server.sendCommand(upstream->id, { Proxy::CommandKind::Status },
            [this, service](const std::optional<Failover::UpstreamStatus>& status) {
                if (status && status->pausedTerm != 0)
                    m_unfinished.insert(service);
            });
    }
}

/// The reason for this host to replace the primary of a service now, or to finish an earlier promotion.
std::optional<Failover::PromotionReason> Failovers::dueReason(const std::string& service, Model::Time now)
{
    if (const auto reason = m_watch.due(service, now))
        return reason;
    if (!m_unfinished.contains(service) || !isPrimaryReachable(service, now))
        return std::nullopt;
    const auto attempt = m_lastAttempts.find(service);
    if (attempt != m_lastAttempts.end() && now - attempt->second < unfinishedRetryPeriod)
        return std::nullopt;
    return Failover::PromotionReason::Unfinished;
}

bool Failovers::isPrimaryReachable(const std::string& service, Model::Time now) const
{
    const Directory::Upstream* primary = m_view.primaryOf(service);
    return primary
        && m_server.engine().reachability().state(primary->id, now) == Failover::ReachabilityState::Reachable;
}

/// Returns when the service is expected to have its new primary; `nullopt` if no host is replacing the
/// primary.
std::optional<Model::Time> Failovers::primaryExpected(const std::string& service, Model::Time now) const
{
    const auto promotion = m_promotions.find(service);
    if (promotion != m_promotions.end() && promotion->second->holdsLease())
        return promotion->second->expectedEnd(m_promotionDuration, now);
    if (const auto since = m_watch.otherHostPromotingSince(service, now))
        return *since + m_promotionDuration;
    return std::nullopt;
}

bool Failovers::canPromote(Model::Time now) const
{
    return m_isStoreReachable && (!m_storeFailedAt || now - *m_storeFailedAt > storeFailurePause);
}

bool Failovers::isPausing(const std::string& service, Model::Time now) const
{
    const auto ended = m_lastEnded.find(service);
    return ended != m_lastEnded.end() && now - ended->second < pauseAfterEnd;
}

/// A leaving primary of a service with synchronous replicas keeps its role until one of them has received
/// enough. The hosts check in turn whether one has, not all of them at once.
bool Failovers::isWaitingForReplicas(
    const std::string& service, Failover::PromotionReason reason, Model::Time now) const
{
    const Directory::Service* settings = m_view.configuration()->findService(service);
    const auto attempt = m_lastAttempts.find(service);
    return reason == Failover::PromotionReason::Leaving && settings && settings->synchronousReplicas > 0
        && attempt != m_lastAttempts.end() && now - attempt->second < replicaCheckPeriod;
}

void Failovers::start(const std::string& service, Failover::PromotionReason reason)
{
    const Directory::Upstream* primary = m_view.primaryOf(service);
    Logging::write(Logging::EventId::PromotionStarted,
        { { "service", service }, { "reason", std::string(Failover::promotionReasonName(reason)) },
            { "primary", primary ? primary->id : std::string() } });
    Failover::PromotionHooks hooks;
    hooks.acquireLease
        = [this](const std::string& name, Failover::Fence fence) { acquireLease(name, fence); };
    hooks.recordCandidate
        = [this](const std::string& name, const std::string& upstream) { recordCandidate(name, upstream); };
    hooks.isFenceEffective = m_hooks.isFenceEffective;
    hooks.requestStatus = [this, service](const std::string& upstream) {
        requestStatus(service, upstream, { Proxy::CommandKind::Status });
    };
    hooks.stepDown = [this, service](const std::string& upstream, std::uint64_t term) {
        Proxy::Command command { Proxy::CommandKind::StepDown };
        command.term = term;
        requestStatus(service, upstream, command);
    };
    hooks.pause = [this, service](
                      const std::string& upstream, std::uint64_t term) { pause(service, upstream, term); };
    hooks.resume = [this, service](const std::string& upstream) { resume(service, upstream); };
    hooks.requestPromotion = [this](const std::string& name, const std::string& upstream,
                                 Failover::FencingToken token) { requestPromotion(name, upstream, token); };
    hooks.isReachable = [this](const std::string& upstream) {
        return m_server.engine().reachability().state(upstream, EventLoop::now())
            != Failover::ReachabilityState::Unreachable;
    };
    hooks.mayHaveLostLog = [this](const std::string& upstream, Model::Time now) {
        return m_emptyLogs.mayBeLost(upstream, now);
    };
    hooks.knownPosition
        = [this](const std::string& upstream) { return m_server.engine().router().position(upstream); };
    hooks.surveyed = [this, service](const Failover::SurveyResult& result) { surveyed(service, result); };
    hooks.mayPromoteDiverged = [this, service](Model::Time at) { return mayPromoteDiverged(service, at); };
    m_promotions.emplace(service,
        std::make_unique<Failover::Promotion>(
            m_view, service, reason, m_knownPrimaries[service].upstream, std::move(hooks), EventLoop::now()));
}

void Failovers::surveyed(const std::string& service, const Failover::SurveyResult& result)
{
    std::vector<std::string> unregistered;
    for (const auto& [upstream, status] : result.statuses) {
        if (status && status->received.position == 0)
            m_emptyLogs.seen(upstream, EventLoop::now());
        if (!m_view.findUpstream(upstream))
            unregistered.push_back(upstream);
    }
    Logging::write(Logging::EventId::PromotionSurveyed,
        { { "service", service }, { "candidate", result.candidate },
            { "statuses", describe(result.statuses) }, { "diverged", join(result.diverged) },
            { "unregistered", join(unregistered) } });
    if (result.candidate.empty() && !result.diverged.empty())
        m_onlyDivergedSince.try_emplace(service, EventLoop::now());
    else
        m_onlyDivergedSince.erase(service);
}

/// Whether logs may be promoted although they have diverged from the replaced primary's: the service has had
/// no other candidate for long, and the primary has not come back with its log.
bool Failovers::mayPromoteDiverged(const std::string& service, Model::Time now) const
{
    const auto since = m_onlyDivergedSince.find(service);
    return since != m_onlyDivergedSince.end() && now - since->second > divergedLogPatience;
}

void Failovers::acquireLease(const std::string& service, Failover::Fence fence)
{
    // Without the hook, the promoter takes the role from the previous primary, so that no fence is needed.
    m_worker.acquireLease(service, m_hooks.isFenceEffective ? fence : Failover::Fence::None,
        [this, service](const std::optional<AcquiredLease>& lease) { leaseAcquired(service, lease); });
}

void Failovers::leaseAcquired(const std::string& service, const std::optional<AcquiredLease>& lease)
{
    if (lease)
        m_hooks.leaseWritten(*lease);
    const auto promotion = m_promotions.find(service);
    if (promotion == m_promotions.end())
        return;
    const Model::Time now = EventLoop::now();
    if (!lease && now - promotion->second->startedAt() > storeResponseLimit)
        m_storeFailedAt = now;
    if (lease) {
        m_leases.insert_or_assign(service, *lease);
        promotion->second->leaseAcquired(lease->lease.token, now, lease->lease.promotions);
    } else {
        promotion->second->leaseAcquired(std::nullopt, now);
    }
    advance(service);
}

/// Writes the promotion to the row of the lease, with which the next one can tell the logs that have diverged
/// from the primary's. It is requested only after that, since the store may fail at any time.
void Failovers::recordCandidate(const std::string& service, const std::string& upstream)
{
    const auto recorded = [this, service](const std::optional<AcquiredLease>& lease) {
        if (lease)
            m_leases.insert_or_assign(service, *lease);
        if (lease && m_hooks.isFenceEffective)
            m_hooks.leaseWritten(*lease);
        const auto promotion = m_promotions.find(service);
        if (promotion == m_promotions.end())
            return;
        promotion->second->candidateRecorded(lease.has_value(), EventLoop::now());
        advance(service);
    };
    const AcquiredLease& lease = m_leases.at(service);
    const Failover::TermHistory& promotions = m_promotions.at(service)->promotions();
    if (m_hooks.isFenceEffective)
        m_worker.allowPrimary(lease, upstream, promotions, recorded);
    else if (lease.lease.promotions != promotions)
        m_worker.recordPromotions(lease, promotions, recorded);
    else
        m_loop.post([recorded, lease] { recorded(lease); });
}

void Failovers::requestPromotion(
    const std::string& service, const std::string& upstream, Failover::FencingToken token)
{
    const Model::Time sendBefore = m_promotions.at(service)->leaseEnd();
    m_worker.promote({ service, upstream, m_self, token, sendBefore },
        [this, service](Failover::PromotionRequestResult result) {
            const auto promotion = m_promotions.find(service);
            if (promotion == m_promotions.end())
                return;
            promotion->second->promotionAnswered(result, EventLoop::now());
            advance(service);
        });
}

/// Writes what the end of a promotion has shown to the row of the lease, which this host may hold no longer:
/// it was certainly not carried out, or began another term than expected.
void Failovers::recordOutcome(const std::string& service)
{
    const AcquiredLease& lease = m_leases.at(service);
    const Failover::TermHistory& promotions = m_promotions.at(service)->promotions();
    if (lease.lease.promotions != promotions)
        m_worker.recordPromotions(lease, promotions, [](const std::optional<AcquiredLease>&) {});
}

/// Sends a command that is answered with a status. `answered` is called if the promotion still runs then,
/// with the same lease: what another one has requested says nothing about this one's requests.
void Failovers::sendCommand(const std::string& service, const std::string& upstream,
    const Proxy::Command& command, const StatusHook& answered)
{
    const Failover::FencingToken token = m_promotions.at(service)->token();
    m_server.sendCommand(upstream, command,
        [this, service, token, answered](const std::optional<Failover::UpstreamStatus>& status) {
            // The answer may arrive before `sendCommand` returns.
            m_loop.post([this, service, token, answered, status] {
                const auto promotion = m_promotions.find(service);
                if (promotion == m_promotions.end() || promotion->second->token() != token)
                    return;
                answered(*promotion->second, status);
                advance(service);
            });
        });
}

void Failovers::requestStatus(
    const std::string& service, const std::string& upstream, const Proxy::Command& command)
{
    sendCommand(service, upstream, command, [upstream](Failover::Promotion& promotion, const auto& status) {
        promotion.statusArrived(upstream, status, EventLoop::now());
    });
}

void Failovers::pause(const std::string& service, const std::string& upstream, std::uint64_t term)
{
    Logging::write(Logging::EventId::ReplicaPaused,
        { { "service", service }, { "upstream", upstream }, { "term", std::to_string(term) } });
    Proxy::Command command { Proxy::CommandKind::Pause };
    command.term = term;
    sendCommand(
        service, upstream, command, [upstream, term](Failover::Promotion& promotion, const auto& status) {
            promotion.pauseAnswered(upstream, term, status, EventLoop::now());
        });
}

void Failovers::resume(const std::string& service, const std::string& upstream)
{
    Logging::write(Logging::EventId::ReplicaResumed, { { "service", service }, { "upstream", upstream } });
    m_server.sendCommand(
        upstream, { Proxy::CommandKind::Resume }, [](const std::optional<Failover::UpstreamStatus>&) {});
}

void Failovers::advance(const std::string& service)
{
    const auto found = m_promotions.find(service);
    Failover::Promotion& promotion = *found->second;
    const Model::Time now = EventLoop::now();
    promotion.update(now);
    if (!promotion.isOver())
        return;
    if (promotion.token() != 0)
        recordOutcome(service);
    const bool isDone = promotion.phase() == Failover::PromotionPhase::Finished;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - promotion.startedAt());
    Logging::write(isDone ? Logging::EventId::PromotionFinished : Logging::EventId::PromotionFailed,
        { { "service", service }, { "upstream", promotion.candidate() },
            { "token", std::to_string(promotion.token()) },
            { "elapsedMs", std::to_string(elapsed.count()) } });
    const bool isNewPrimary = isDone && promotion.reason() != Failover::PromotionReason::Unfinished;
    if (isNewPrimary && promotion.acceptedAt())
        m_promotionDuration = now - *promotion.acceptedAt();
    m_lastEnded[service] = now;
    if (promotion.isUnfinished())
        m_unfinished.insert(service);
    else if (isDone)
        m_unfinished.erase(service);
    m_promotions.erase(found);
}

std::vector<PrimaryHealth> Failovers::healthObservations(ObservationScope scope) const
{
    std::vector<PrimaryHealth> result;
    if (!m_view.configuration())
        return result;
    const Model::Time now = EventLoop::now();
    for (const auto& [service, settings] : m_view.configuration()->services) {
        if (scope == ObservationScope::Suspected && !m_watch.isPrimarySuspected(service, now))
            continue;
        PrimaryHealth observation { service };
        if (const Directory::Upstream* primary = m_view.primaryOf(service)) {
            observation.upstream = primary->id;
            observation.state = m_server.engine().reachability().state(primary->id, now);
        }
        const auto promotion = m_promotions.find(service);
        observation.isPromoting = promotion != m_promotions.end() && promotion->second->holdsLease();
        result.push_back(std::move(observation));
    }
    return result;
}

}
