#include "daemon/clock.h"
#include "daemon/groupconfig.h"
#include "daemon/grouprunnerparts.h"
#include "logging/log.h"

#include <algorithm>

namespace Daemon {

using Database::ReplyStatus;
using Model::ErrorCode;
using Model::Time;
using Replication::ReadRoute;
using Replication::WriteRoute;
using Scheduling::ConnectionId;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds openTimeout(1000);
    constexpr milliseconds pingTimeout(500);

}

void GroupRunner::dispatch(Time now)
{
    if (m_queue.size() == 0)
        return;
    updateLoads(now);
    for (UpstreamLink& upstream : m_upstreams)
        assignFrom(upstream, now);
}

void GroupRunner::assignFrom(UpstreamLink& upstream, Time now)
{
    const auto predicate = [this, &upstream, now](const Scheduling::QueueItem& item) {
        const auto found = m_waiters.find(item.id);
        return found != m_waiters.end() && runnableTerm(*found->second, upstream, now).has_value();
    };
    while (upstream.pool().running() < upstream.pool().slots()) {
        const auto item = m_queue.pop(upstream.name(), predicate, now);
        if (!item)
            return;
        Waiter& waiter = *m_waiters.at(item->id);
        const std::uint64_t term = runnableTerm(waiter, upstream, now).value_or(0);
        std::optional<ConnectionId> connection;
        if (waiter.kind == StatementKind::Begin)
            connection = upstream.pool().begin(waiter.transaction, now);
        else if (waiter.kind == StatementKind::InTransaction)
            connection = upstream.pool().resume(waiter.transaction, now);
        else
            connection = upstream.pool().acquire(now);
        if (!connection)
            return refuse(item->id, ErrorCode::Internal);
        if (waiter.kind == StatementKind::Read) {
            const auto primary = m_group.primary(now);
            const bool isPrimary = primary && primary->member == upstream.name();
            m_context.metrics
                ->counter("parsleytack_reads_total", isPrimary ? "by=\"primary\"" : "by=\"replica\"")
                .add();
        }
        const bool isRead = waiter.kind == StatementKind::Read;
        waiter.assignment->emplace(
            Assignment { upstream.name(), *connection, upstream.client(*connection), term, !isRead });
        waiter.wake.notify_all();
        updateLoads(now);
    }
}

std::optional<std::uint64_t> GroupRunner::runnableTerm(
    const Waiter& waiter, const UpstreamLink& upstream, Time now) const
{
    if (waiter.kind == StatementKind::InTransaction) {
        const bool canResume = waiter.member == upstream.name()
            && upstream.pool().canResume(waiter.transaction) && hasSessionPosition(waiter, upstream);
        return canResume ? std::optional<std::uint64_t>(0) : std::nullopt;
    }
    if (waiter.kind == StatementKind::Read) {
        const ReadRoute route = m_group.routeRead(readRequest(waiter), m_loads, now);
        const bool isRunnable
            = route.kind == ReadRoute::Kind::Replica || route.kind == ReadRoute::Kind::Primary;
        if (!isRunnable || route.member != upstream.name() || !upstream.pool().canAcquire(now))
            return std::nullopt;
        return route.term;
    }
    const WriteRoute route = m_group.routeWrite(waiter.arrivedAt, now);
    if (route.kind != WriteRoute::Kind::Run || route.primary.member != upstream.name())
        return std::nullopt;
    // A transaction reads on the primary, which may have been replaced without this host knowing. It must
    // therefore have reached the position of the session.
    const bool isBegin = waiter.kind == StatementKind::Begin;
    if (isBegin && !hasSessionPosition(waiter, upstream))
        return std::nullopt;
    const bool hasConnection = isBegin ? upstream.pool().canBegin(now) : upstream.pool().canAcquire(now);
    return hasConnection ? std::optional(route.primary.term) : std::nullopt;
}

bool GroupRunner::hasSessionPosition(const Waiter& waiter, const UpstreamLink& upstream) const
{
    const auto members = m_group.members();
    const auto found = std::ranges::find(members, upstream.name(), &Replication::MemberView::name);
    return found != members.end() && found->lastEntry() >= waiter.request->sessionPosition;
}

void GroupRunner::updateLoads(Time now)
{
    m_loads.clear();
    for (const Replication::MemberView& member : m_group.members()) {
        const auto found = std::ranges::find(m_upstreams, member.name(), &UpstreamLink::name);
        if (found == m_upstreams.end())
            m_loads.push_back({ 0, false });
        else
            m_loads.push_back({ static_cast<std::uint32_t>(found->pool().running()),
                found->pool().canAcquire(now) && found->admitsRead(now, m_generator) });
    }
}

Replication::ReadRequest GroupRunner::readRequest(const Waiter& waiter) const
{
    return { waiter.request->sessionPosition, waiter.request->maxAge, m_context.zone, waiter.arrivedAt };
}

void GroupRunner::refuse(std::uint64_t item, ErrorCode code)
{
    const auto found = m_waiters.find(item);
    if (found == m_waiters.end())
        return;
    Waiter& waiter = *found->second;
    m_queue.remove(item);
    // A request that has a connection assigned already runs, so it is not refused.
    if (!waiter.assignment->has_value()) {
        waiter.refusalCode = code;
        waiter.wake.notify_all();
    }
    m_waiters.erase(found);
}

ErrorCode GroupRunner::timeoutCode(const Waiter& waiter) const
{
    const bool needsPrimary = waiter.kind == StatementKind::Write || waiter.kind == StatementKind::Begin;
    return needsPrimary && !m_group.primary(steadyNow()) ? ErrorCode::NoPrimary : ErrorCode::DeadlineExceeded;
}

void GroupRunner::refuseUnservable(Time now)
{
    updateLoads(now);
    std::vector<std::pair<std::uint64_t, ErrorCode>> unservable;
    for (const auto& [id, waiter] : m_waiters) {
        if (waiter->assignment->has_value())
            continue;
        if (waiter->kind == StatementKind::Read) {
            const ReadRoute::Kind kind = m_group.routeRead(readRequest(*waiter), m_loads, now).kind;
            if (kind == ReadRoute::Kind::PositionLost)
                unservable.emplace_back(id, ErrorCode::SessionPositionLost);
            else if (kind == ReadRoute::Kind::Unavailable)
                unservable.emplace_back(id, ErrorCode::NoPrimary);
        } else if (waiter->kind == StatementKind::InTransaction) {
            if (!m_transactions.find(waiter->request->transactionId, waiter->request->customer))
                unservable.emplace_back(id, ErrorCode::TransactionAborted);
        } else if (m_group.routeWrite(waiter->arrivedAt, now).kind == WriteRoute::Kind::NoPrimary) {
            unservable.emplace_back(id, ErrorCode::NoPrimary);
        }
    }
    for (const auto& [id, code] : unservable)
        refuse(id, code);
}

void GroupRunner::logPrimarySuspicion()
{
    const auto isSuspected = [](const Replication::MemberView& member) {
        return member.role() == Replication::Role::Primary && member.isSuspected();
    };
    const auto members = m_group.members();
    const auto found = std::ranges::find_if(members, isSuspected);
    const bool isNowSuspected = found != members.end();
    if (isNowSuspected && !m_isPrimarySuspected)
        Logging::write(Logging::EventId::PrimarySuspected,
            { { "service", m_context.service }, { "upstream", found->name() } });
    m_isPrimarySuspected = isNowSuspected;
}

void GroupRunner::expireTransactions(UpstreamLink& upstream, Time now)
{
    for (const Scheduling::ExpiredTransaction& expired : upstream.pool().expireTransactions(now)) {
        upstream.removeClient(expired.connection);
        m_transactions.removeNumber(expired.transaction);
    }
    updateWriteCount();
}

void GroupRunner::maintainConnections(UpstreamLink& upstream, Time now)
{
    for (const Scheduling::PoolAction& action : upstream.pool().plan(m_queue.size(), now)) {
        const std::string name = upstream.name();
        const ConnectionId connection = action.connection;
        bool isPosted = true;
        if (action.kind == Scheduling::PoolActionKind::Close)
            upstream.removeClient(connection);
        else if (action.kind == Scheduling::PoolActionKind::Open)
            isPosted = m_tasks.post([this, name, address = upstream.address(), connection] {
                openConnection(name, address, connection);
            });
        else
            isPosted = m_tasks.post([this, name, connection] { pingConnection(name, connection); });
        if (isPosted)
            continue;
        if (action.kind == Scheduling::PoolActionKind::Open)
            upstream.pool().openFailed(connection);
        else if (!upstream.pool().pinged(connection, Scheduling::ConnectionPool::PingResult::Failed, now))
            upstream.removeClient(connection);
    }
}

void GroupRunner::openConnection(const std::string& name, const std::string& address, ConnectionId connection)
{
    const Time sentAt = steadyNow();
    const auto client = std::make_shared<Database::UpstreamClient>(address);
    const Database::StatusReply reply = client->open(openTimeout);
    const Lock lock(m_mutex);
    const Time now = steadyNow();
    UpstreamLink* upstream = find(name);
    if (!upstream || upstream->address() != address)
        return;
    if (reply.status != ReplyStatus::Done) {
        upstream->pool().openFailed(connection);
        Logging::write(Logging::EventId::ConnectionFailed, { { "upstream", name } });
        if (reply.status == ReplyStatus::NotSent || reply.status == ReplyStatus::NoAnswer)
            m_group.observeFailure(name, Replication::ConnectionKind::New, now);
        return;
    }
    const bool isPrimary = reply.value.role == Database::UpstreamRole::Primary;
    m_group.observeReport(name,
        { reply.value.promisedTerm, reply.value.last,
            isPrimary ? Replication::Role::Primary : Replication::Role::Replica },
        sentAt, now);
    if (upstream->pool().opened(connection, now))
        upstream->addClient(connection, client);
    dispatch(now);
}

void GroupRunner::pingConnection(const std::string& name, ConnectionId connection)
{
    UpstreamLink::ClientPointer client;
    {
        const Lock lock(m_mutex);
        const UpstreamLink* upstream = find(name);
        client = upstream ? upstream->client(connection) : nullptr;
    }
    using PingResult = Scheduling::ConnectionPool::PingResult;
    const bool isAnswered = client && client->ping(pingTimeout).status == ReplyStatus::Done;
    const Lock lock(m_mutex);
    const Time now = steadyNow();
    UpstreamLink* upstream = find(name);
    if (!upstream)
        return;
    if (!upstream->pool().pinged(connection, isAnswered ? PingResult::Answered : PingResult::Failed, now)) {
        upstream->removeClient(connection);
        Logging::write(Logging::EventId::UpstreamSilent, { { "upstream", name } });
    }
    dispatch(now);
}

}
