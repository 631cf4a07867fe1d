#include "core/proxy/engine.h"

#include "core/proxy/reply.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Proxy {

namespace {

    /// Requests that are compared for one free slot. There may be hundreds of customers, and a request
    /// further back gains little by its idle connection.
    constexpr int maxVisited = 32;
    /// A request that starts after its target latency less 1 / startMarginDivisor of it may finish late.
    constexpr int startMarginDivisor = 4;
    /// How long a statement of a lost connection is assumed to occupy its slot.
    constexpr Model::Duration lostStatementTime = std::chrono::milliseconds(20);

    std::int64_t milliseconds(Model::Duration duration)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    }

    WaitingRequest waitingRequest(const Session& session, WaitLane lane)
    {
        return { session.id, lane, session.route->priority, session.customer, session.request->arrivedAt,
            session.route->targetLatency };
    }

}

/// An upstream that has a free slot for a waiting request.
struct Engine::UsableUpstream {
    const Directory::Upstream* upstream = nullptr;
    /// Customers of its idle connections.
    std::vector<std::string_view> idleCustomers;
    bool mayOpen = false;

    bool isIdleFor(std::string_view customer) const
    {
        return std::ranges::find(idleCustomers, customer) != idleCustomers.end();
    }
};

/// How the request that is next in the order starts.
struct Engine::NextStart {
    SessionId session = 0;
    const Directory::Upstream* upstream = nullptr;
    bool opens = false;
};

SlotWindow& Engine::slotWindow(const std::string& upstream)
{
    const auto known = m_slots.find(upstream);
    if (known != m_slots.end())
        return known->second.window;
    const Directory::Upstream* entry = m_view.findUpstream(upstream);
    return m_slots.emplace(upstream, UpstreamSlots { SlotWindow(entry ? entry->slots : 1), {} })
        .first->second.window;
}

void Engine::holdSlot(Connection& connection, Model::Time now)
{
    if (!m_settings.schedulesStatements || connection.slotHeldSince)
        return;
    connection.slotHeldSince = now;
    slotWindow(connection.upstream).started();
}

void Engine::freeSlot(Connection& connection, SlotResult result, Model::Time now)
{
    if (!connection.slotHeldSince)
        return;
    const Model::Duration held = now - *connection.slotHeldSince;
    connection.slotHeldSince.reset();
    SlotWindow& window = slotWindow(connection.upstream);
    const int limit = window.limit();
    window.ended(result, now);
    if (window.limit() < limit)
        ++m_schedulingStats.windowDecreases;
    if (window.limit() > limit)
        ++m_schedulingStats.windowIncreases;
    if (result == SlotResult::Busy) {
        ++m_schedulingStats.busyAnswers;
        m_pauseEnd = std::min(m_pauseEnd.value_or(window.pausedUntil()), window.pausedUntil());
    }
    if (result != SlotResult::Answered)
        return;
    WaitEstimate& estimate = m_queues[connection.service].estimate;
    if (connection.state == ConnectionState::Opening)
        estimate.openingEnded(held);
    else if (const Session* session = findSession(connection.session))
        estimate.statementEnded(session->route->priority, held);
}

/// Frees the slot of a connection that was removed. Its upstream may still run the statement.
void Engine::loseSlot(Connection& connection, Model::Time now)
{
    if (!connection.slotHeldSince)
        return;
    const bool isSent = connection.state == ConnectionState::Opening
        || std::ranges::any_of(connection.pending,
            [](const PendingReply& pending) { return pending.kind == CommandKind::Statement; });
    if (!isSent)
        return freeSlot(connection, SlotResult::Unused, now);
    connection.slotHeldSince.reset();
    slotWindow(connection.upstream).lost(now + lostStatementTime, now);
}

/// Returns whether an attempt with this result does not count. The router leaves an upstream that is not the
/// primary out for a while, and scheduled requests wait for a slot after `Busy`.
bool Engine::isAttemptFree(ResultCode code) const
{
    return code == ResultCode::ReadOnly || (code == ResultCode::Busy && m_settings.schedulesStatements);
}

/// Returns whether the statement may be sent now. Otherwise it waits for a slot of its connection's upstream.
bool Engine::takeSlotInTransaction(Session& session, Connection& connection, Model::Time now)
{
    if (!m_settings.schedulesStatements || connection.slotHeldSince)
        return true;
    SlotWindow& window = slotWindow(connection.upstream);
    std::deque<SessionId>& waiting = m_slots.at(connection.upstream).transactions;
    if (waiting.empty() && window.mayStart(now)) {
        holdSlot(connection, now);
        return true;
    }
    session.request->phase = RequestPhase::Preparing;
    session.request->awaitsSlot = true;
    waiting.push_back(session.id);
    m_backlog.insert(connection.service);
    return false;
}

/// Lets a statement that a busy upstream did not run wait for a slot on its connection, before the others.
void Engine::awaitSlotAgain(Session& session, const Connection& connection)
{
    session.request->phase = RequestPhase::Preparing;
    session.request->awaitsSlot = true;
    m_slots.at(connection.upstream).transactions.push_front(session.id);
    m_backlog.insert(connection.service);
}

void Engine::removeFromQueues(const Session& session)
{
    if (!session.request || !m_settings.schedulesStatements)
        return;
    if (session.request->awaitsSlot) {
        const auto slots = m_slots.find(session.request->upstream);
        if (slots != m_slots.end())
            std::erase(slots->second.transactions, session.id);
    }
    const auto service = m_queues.find(session.route->service);
    if (service != m_queues.end())
        service->second.waiting.remove(session.id);
}

WaitLane Engine::waitLane(const Session& session, const ServiceQueue& service, Model::Time now) const
{
    const bool isForPrimary = session.request->target != Target::Fresh || service.upstreams.size() < 2
        || !m_router.requiredPosition(session, now);
    return isForPrimary ? WaitLane::Primary : WaitLane::AnyUpstream;
}

Engine::ServiceQueue& Engine::serviceQueue(const std::string& name)
{
    ServiceQueue& service = m_queues[name];
    if (service.upstreams.empty()) {
        for (const Directory::Upstream* upstream : m_view.upstreamsOf(name))
            service.upstreams.push_back(upstream->id);
    }
    return service;
}

/// Queues a new request, or refuses it if it certainly cannot be served in time.
void Engine::enqueue(Session& session, Model::Time now)
{
    ServiceQueue& service = serviceQueue(session.route->service);
    const WaitingRequest request = waitingRequest(session, waitLane(session, service, now));
    if (!service.waiting.isEmpty(request.lane)) {
        const Model::Duration wait = expectedWait(session, service, request, now);
        if (now + wait + executionTime(session, service) > session.request->deadline)
            return refuseByEstimate(session, wait, now);
    }
    pushWaiting(service, request, now);
    m_backlog.insert(session.route->service);
    dispatch(now);
}

/// Returns the time that the session's statement is expected to run for. One slow statement, for example the
/// first one after a start, must not make all others seem hopeless.
Model::Duration Engine::executionTime(const Session& session, const ServiceQueue& service)
{
    return std::min(service.estimate.meanStatementTime(session.route->priority),
        session.route->targetLatency / startMarginDivisor);
}

/// Returns after which wait a request is not expected to meet its target latency.
Model::Duration Engine::latestStart(const Session& session, const ServiceQueue& service)
{
    const Model::Duration target = session.route->targetLatency;
    return target
        - std::max(
            target / startMarginDivisor, 2 * service.estimate.meanStatementTime(session.route->priority));
}

void Engine::pushWaiting(ServiceQueue& service, const WaitingRequest& request, Model::Time now)
{
    if (request.isLate && service.waiting.ahead(request).ofClass == 0)
        service.estimate.lateWaitsFrom(request, now);
    service.waiting.push(request);
}

/// Queues a request again after an attempt. One that a busy upstream did not run keeps its turn.
void Engine::enqueueAgain(Session& session, Model::Time now)
{
    ServiceQueue& service = serviceQueue(session.route->service);
    const WaitingRequest request = waitingRequest(session, waitLane(session, service, now));
    if (session.request->lastCode == ResultCode::Busy)
        service.waiting.putBack(request);
    else
        service.waiting.push(request);
    m_backlog.insert(session.route->service);
    dispatch(now);
}

Model::Duration Engine::expectedWait(
    const Session& session, const ServiceQueue& service, const WaitingRequest& request, Model::Time now)
{
    int slots = 0;
    for (const Directory::Upstream* upstream : m_router.candidates(session, *session.request, now))
        slots += slotWindow(upstream->id).limit();
    // Without an upstream, the time until there is one decides.
    if (slots == 0)
        return {};
    return service.estimate.expectedWait(request, service.waiting.ahead(request), slots, now);
}

/// Refuses a request that would not start in time. The caller is told when a new one could meet the route's
/// target latency.
void Engine::refuseByEstimate(Session& session, Model::Duration wait, Model::Time now)
{
    removeFromQueues(session);
    const ServiceQueue& service = m_queues.at(session.route->service);
    const Model::Duration mean = std::max(service.estimate.meanStatementTime(session.route->priority),
        Model::Duration(std::chrono::milliseconds(1)));
    const Model::Duration retryAfter = std::max(mean, wait + mean - session.route->targetLatency);
    Decision decision = decisionOf(DecisionKind::RequestRefusedByEstimate, session, ResultCode::Busy, now);
    decision.reason = "no execution slot in time";
    decision.inputs = "estimateMs=" + std::to_string(milliseconds(wait))
        + " queued=" + std::to_string(service.waiting.size())
        + " waitedMs=" + std::to_string(milliseconds(now - session.request->arrivedAt));
    m_hooks.decided(decision);
    ++m_schedulingStats.refusedByEstimate;
    if (session.state == TransactionState::Open)
        session.state = TransactionState::Failed;
    const std::string text
        = "no execution slot in time; retry after " + std::to_string(milliseconds(retryAfter)) + " ms";
    finish(session, errorReply(ResultCode::Busy, text, session.state), now);
}

void Engine::dispatchScheduled(Model::Time now)
{
    // A hook may report a lost connection, which dispatches again.
    m_dispatchesAgain = true;
    if (m_isDispatching)
        return;
    m_isDispatching = true;
    while (std::exchange(m_dispatchesAgain, false)) {
        for (const std::string& name : m_backlog)
            dispatchService(serviceQueue(name), now);
        std::erase_if(
            m_backlog, [this](const std::string& name) { return !isBacklogged(m_queues.at(name)); });
    }
    m_isDispatching = false;
}

void Engine::dispatchService(ServiceQueue& service, Model::Time now)
{
    for (const std::string& upstream : service.upstreams)
        sendInTransactions(upstream, now);
    while (!service.waiting.isEmpty() && startNext(service, now)) { }
}

bool Engine::isBacklogged(const ServiceQueue& service) const
{
    const auto hasTransactions = [this](const std::string& upstream) {
        const auto slots = m_slots.find(upstream);
        return slots != m_slots.end() && !slots->second.transactions.empty();
    };
    return !service.waiting.isEmpty() || std::ranges::any_of(service.upstreams, hasTransactions);
}

/// Sends waiting statements of open transactions, which hold their connections.
void Engine::sendInTransactions(const std::string& upstream, Model::Time now)
{
    const auto slots = m_slots.find(upstream);
    if (slots == m_slots.end())
        return;
    std::deque<SessionId>& waiting = slots->second.transactions;
    while (!waiting.empty() && slots->second.window.mayStart(now)) {
        Session& session = m_sessions.at(waiting.front());
        waiting.pop_front();
        session.request->awaitsSlot = false;
        Connection* connection = m_pool.find(session.connection);
        holdSlot(*connection, now);
        sendStatement(session, *connection, now);
    }
}

std::vector<Engine::UsableUpstream> Engine::usableUpstreams(const ServiceQueue& service, Model::Time now)
{
    std::vector<UsableUpstream> result;
    for (const std::string& id : service.upstreams) {
        const Directory::Upstream* upstream = m_view.findUpstream(id);
        if (!upstream || !slotWindow(id).mayStart(now))
            continue;
        UsableUpstream usable { upstream, m_pool.customers(id, ConnectionState::Idle), false };
        const ConnectionShare limits = share(upstream->service, id);
        usable.mayOpen = m_pool.mayOpen(id, limits.maximum + 1, now) && m_pool.countOpening(id) < maxOpening
            && (m_pool.count(id) < limits.maximum || !usable.idleCustomers.empty());
        if (usable.mayOpen || !usable.idleCustomers.empty())
            result.push_back(std::move(usable));
    }
    return result;
}

/// Starts the next request that can use a free slot, or opens a connection for it. Returns whether it did.
bool Engine::startNext(ServiceQueue& service, Model::Time now)
{
    const std::vector<UsableUpstream> usable = usableUpstreams(service, now);
    if (usable.empty())
        return false;
    const Directory::Upstream* primary = m_router.primary(usable.front().upstream->service, now);
    const bool isPrimaryUsable
        = !primary || std::ranges::find(usable, primary, &UsableUpstream::upstream) != usable.end();
    NextStart next;
    if (isPrimaryUsable)
        next = findNext(service, WaitLane::Primary, usable, now);
    if (next.session == 0)
        next = findNext(service, WaitLane::AnyUpstream, usable, now);
    if (next.session == 0)
        return false;
    Session& session = m_sessions.at(next.session);
    if (next.opens) {
        session.request->opening = openFor(session, *next.upstream, now);
        return session.request->opening != 0;
    }
    const WaitingRequest request = service.waiting.at(next.session);
    service.estimate.taken(request, service.waiting.take(next.session), now);
    assign(session, *m_pool.findIdle(next.upstream->id, session.customer), now);
    return true;
}

/// Returns the first request with an idle connection to a usable upstream. A connection is opened instead for
/// the first request of all if its customer has none, or if no request has an idle one.
Engine::NextStart Engine::findNext(const ServiceQueue& service, WaitLane lane,
    const std::vector<UsableUpstream>& usable, Model::Time now) const
{
    NextStart opening;
    NextStart result;
    int visited = 0;
    if (service.waiting.isEmpty(lane))
        return result;
    service.waiting.visit(lane, now, [&](SessionId id) {
        const Session& session = m_sessions.at(id);
        const bool mayBeIdle = std::ranges::any_of(
            usable, [&](const UsableUpstream& upstream) { return upstream.isIdleFor(session.customer); });
        if (++visited > maxVisited)
            return false;
        if (!mayBeIdle && opening.session != 0)
            return true;
        const auto candidates = m_router.candidates(session, *session.request, now);
        const bool mayOpen = opening.session == 0 && needsOpening(session, service, candidates);
        const Directory::Upstream* openable = nullptr;
        for (const Directory::Upstream* candidate : candidates) {
            const auto found = std::ranges::find(usable, candidate, &UsableUpstream::upstream);
            if (found == usable.end())
                continue;
            if (found->isIdleFor(session.customer)) {
                result = { id, candidate, false };
                return false;
            }
            if (!openable && found->mayOpen)
                openable = candidate;
        }
        if (!mayOpen || !openable)
            return true;
        opening = { id, openable, true };
        const bool hasConnection = std::ranges::any_of(candidates,
            [&](const auto* candidate) { return m_pool.isConnected(candidate->id, session.customer); });
        return visited > 1 || hasConnection;
    });
    return result.session != 0 ? result : opening;
}

/// Returns whether the waiting requests of the session's customer outnumber the connections that are being
/// opened for it to upstreams on which its request may run.
bool Engine::needsOpening(const Session& session, const ServiceQueue& service,
    const std::vector<const Directory::Upstream*>& candidates) const
{
    std::size_t opening = 0;
    for (const Directory::Upstream* upstream : candidates)
        opening += std::ranges::count(
            m_pool.customers(upstream->id, ConnectionState::Opening), std::string_view(session.customer));
    return opening < service.waiting.sizeOfCustomer(session.id);
}

/// Checks the time limits of a request that waits for a slot.
void Engine::checkScheduled(Session& session, Model::Time now)
{
    const Request& request = *session.request;
    if (request.awaitsSlot) {
        if (now >= request.deadline)
            abortWaiting(session, now);
        return;
    }
    if (now >= request.deadline)
        return refuse(session, ResultCode::Busy, "no connection in time", now);
    if (now - request.arrivedAt >= maxQueueTime(session) && !hasCandidates(session, now))
        return refuse(session, ResultCode::Busy, "no upstream can run it", now);
    ServiceQueue& service = m_queues.at(session.route->service);
    WaitingRequest waiting = service.waiting.at(session.id);
    if (!waiting.isLate && now - request.arrivedAt > latestStart(session, service)) {
        waiting.isLate = true;
        service.waiting.remove(session.id);
        pushWaiting(service, waiting, now);
    }
    const Model::Duration mean = executionTime(session, service);
    // While no upstream can run requests, the late ones are not behind others.
    if (waiting.isLate && !hasCandidates(session, now))
        service.estimate.lateWaitsFrom(waiting, now);
    const Model::Duration wait
        = waiting.isLate ? service.estimate.lateUnservedFor(waiting, now) : Model::Duration {};
    if (now + wait + mean > request.deadline)
        refuseByEstimate(session, wait + mean, now);
}

/// Rolls back a transaction whose statement got no slot in time.
void Engine::abortWaiting(Session& session, Model::Time now)
{
    removeFromQueues(session);
    session.request->awaitsSlot = false;
    const bool isCommit = session.request->statement.kind == StatementKind::Commit;
    session.state = isCommit ? TransactionState::None : TransactionState::Failed;
    constexpr std::string_view reason = "no execution slot in time";
    decided(DecisionKind::TransactionAborted, session, ResultCode::Aborted, reason, now);
    detach(session, now);
    finish(session, errorReply(ResultCode::Aborted, reason, session.state), now);
}

/// Returns whether an upstream could run the request. Requests of a route that exclude no upstream share the
/// result until the next tick.
bool Engine::hasCandidates(const Session& session, Model::Time now)
{
    const Request& request = *session.request;
    const auto find = [&] {
        // Without a known primary, the other upstreams are only tried to find the new one.
        return request.target == Target::Primary ? m_router.primary(session.route->service, now) != nullptr
                                                 : !m_router.candidates(session, request, now).empty();
    };
    if (!request.excluded.empty())
        return find();
    const std::tuple key { session.route->service, session.route->kind, session.route->maxStaleness,
        request.target };
    const auto known = m_hasCandidates.find(key);
    if (known != m_hasCandidates.end())
        return known->second;
    return m_hasCandidates[key] = find();
}

/// Adopts changed upstreams and slots. The upstreams of a service are looked up when it is used next.
void Engine::updateSlots()
{
    if (!m_settings.schedulesStatements)
        return;
    for (auto& [name, service] : m_queues)
        service.upstreams.clear();
    for (auto entry = m_slots.begin(); entry != m_slots.end();) {
        UpstreamSlots& slots = entry->second;
        const Directory::Upstream* upstream = m_view.findUpstream(entry->first);
        if (upstream)
            slots.window.setSlots(upstream->slots);
        const bool isUnused = slots.window.inProgress() == 0 && slots.transactions.empty();
        entry = !upstream && isUnused ? m_slots.erase(entry) : std::next(entry);
    }
}

SchedulingStats Engine::schedulingStats() const
{
    SchedulingStats result = m_schedulingStats;
    for (const auto& [name, service] : m_queues)
        result.waiting += service.waiting.size();
    for (const auto& [name, slots] : m_slots)
        result.waiting += slots.transactions.size();
    return result;
}

}
