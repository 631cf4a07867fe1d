#include "daemon/grouprunner.h"

#include "daemon/clock.h"
#include "daemon/groupconfig.h"
#include "logging/log.h"
#include "logging/span.h"

#include <algorithm>

namespace Daemon {

using Database::ReplyStatus;
using Database::StatementReply;
using Gateway::Operation;
using Model::ErrorCode;
using Model::makeError;
using Model::Time;
using Replication::ReadRoute;
using Replication::WriteRoute;
using Scheduling::Completion;
using Scheduling::ConnectionId;
using Scheduling::Placement;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds tickInterval(20);
    constexpr milliseconds openTimeout(1000);
    constexpr milliseconds pingTimeout(500);
    /// How often a statement that did not reach its upstream is queued again.
    constexpr int maxAttempts = 5;
    constexpr milliseconds pauseAfterStaleTerm(20);

    Completion completionOf(ReplyStatus status)
    {
        switch (status) {
        case ReplyStatus::Done:
        case ReplyStatus::StaleTerm:
        case ReplyStatus::StatementFailed:
            return Completion::Done;
        case ReplyStatus::NoAnswer:
            return Completion::TimedOut;
        case ReplyStatus::NotSent:
        case ReplyStatus::TooManyConnections:
        case ReplyStatus::TransactionGone:
            break;
        }
        return Completion::Broken;
    }

    enum class StatementKind : std::uint8_t {
        Write,
        Read,
        Begin,
        InTransaction,
    };

}

/// A request that waits for a connection. Lives on the stack of the thread that runs it.
struct GroupRunner::Waiter {
    const GroupRequest* request = nullptr;
    StatementKind kind = StatementKind::Read;
    Scheduling::TransactionId transaction = 0;
    std::string member;
    Time arrivedAt;
    std::optional<Assignment>* assignment = nullptr;
    std::optional<ErrorCode> refusal;
    std::condition_variable wake;
};

/// A connection that one statement may use.
struct GroupRunner::Assignment {
    std::string upstream;
    ConnectionId connection = 0;
    UpstreamLink::ClientPointer client;
    std::uint64_t term = 0;
    /// The call is of no use in a later term.
    bool isTermBound = true;
};

/// Registers a call for as long as it runs without the mutex.
class GroupRunner::RunningCall {
public:
    RunningCall(GroupRunner& runner, const Assignment& assignment, Lock& lock)
        : m_runner(runner)
        , m_lock(lock)
        , m_position(runner.m_calls.insert(runner.m_calls.end(), &assignment))
    {
        m_lock.unlock();
    }
    ~RunningCall()
    {
        m_lock.lock();
        m_runner.m_calls.erase(m_position);
    }
    RunningCall(const RunningCall&) = delete;
    RunningCall& operator=(const RunningCall&) = delete;

private:
    GroupRunner& m_runner;
    Lock& m_lock;
    std::list<const Assignment*>::iterator m_position;
};

GroupRunner::GroupRunner(GroupContext context, Catalog::SnapshotPointer catalog)
    : m_context(std::move(context))
    , m_catalog(std::move(catalog))
    , m_group(groupMembers(*m_catalog, m_context.service), steadyNow())
    , m_queue(static_cast<std::size_t>(m_catalog->limits().queuedPerCustomer))
    , m_transactions(m_context.transactionPrefix)
    , m_monitor(
          m_mutex, m_group, [this] { onReport(); }, *m_context.workers)
    , m_tasks(*m_context.workers)
{
    configure(m_catalog);
    m_thread = std::thread([this] { runTicks(); });
}

GroupRunner::~GroupRunner()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        while (!m_waiters.empty())
            refuse(m_waiters.begin()->first, ErrorCode::Draining);
    }
    m_tickDue.notify_all();
    m_thread.join();
    m_tasks.close();
    m_monitor.stop();
}

void GroupRunner::configure(Catalog::SnapshotPointer catalog)
{
    const std::map<std::string, std::string> addresses = upstreamAddresses(*catalog, m_context.service);
    {
        const std::lock_guard lock(m_mutex);
        m_catalog = std::move(catalog);
        applyCatalog(steadyNow());
        dropRevoked();
    }
    m_monitor.setMembers(addresses);
    m_tickDue.notify_all();
}

void GroupRunner::applyCatalog(Time now)
{
    m_group.replaceMembers(groupMembers(*m_catalog, m_context.service), now);
    m_queue.setMaxItemsPerCustomer(static_cast<std::size_t>(m_catalog->limits().queuedPerCustomer));
    for (const Catalog::Customer& customer : m_catalog->document().customers)
        m_queue.setWeight(customer.name, static_cast<std::uint32_t>(customer.weight));
    const Catalog::ServiceEntry* entry = m_catalog->findService(m_context.service);
    std::vector<std::string> wanted;
    for (const Catalog::Upstream* upstream :
        entry ? entry->upstreams : std::vector<const Catalog::Upstream*>()) {
        wanted.push_back(upstream->name);
        UpstreamConfig config = upstreamConfig(*m_catalog, *upstream);
        if (m_isReleased)
            config.state = Scheduling::UpstreamState::NoNewWork;
        UpstreamLink* link = find(upstream->name);
        if (link && link->address() != config.address) {
            m_upstreams.remove_if([link](const UpstreamLink& item) { return &item == link; });
            link = nullptr;
        }
        if (link)
            link->configure(config, now);
        else
            m_upstreams.emplace_back(config, now);
    }
    m_upstreams.remove_if(
        [&wanted](const UpstreamLink& link) { return !std::ranges::count(wanted, link.name()); });
    // Upstreams of this host's availability zone are offered reads first.
    m_upstreams.sort([this](const UpstreamLink& left, const UpstreamLink& right) {
        return (left.zone() == m_context.zone) > (right.zone() == m_context.zone);
    });
}

void GroupRunner::dropRevoked()
{
    std::vector<std::uint64_t> revoked;
    for (const auto& [item, waiter] : m_waiters) {
        if (!isKeyActive(waiter->request->keyName, waiter->request->customer))
            revoked.push_back(item);
    }
    for (const std::uint64_t item : revoked)
        refuse(item, ErrorCode::KeyInvalid);
    std::vector<std::string> ended;
    for (const auto& [id, transaction] : m_transactions.all()) {
        if (!isKeyActive(transaction.keyName, transaction.customer))
            ended.push_back(id);
    }
    for (const std::string& id : ended)
        endTransaction(id);
}

bool GroupRunner::isKeyActive(const std::string& keyName, const std::string& customer) const
{
    return keyName.empty() || m_catalog->isKeyActive(keyName, customer);
}

void GroupRunner::release()
{
    const std::lock_guard lock(m_mutex);
    m_isReleased = true;
    std::vector<std::uint64_t> queued;
    for (const auto& [item, waiter] : m_waiters) {
        if (waiter->kind != StatementKind::InTransaction)
            queued.push_back(item);
    }
    for (const std::uint64_t item : queued)
        refuse(item, ErrorCode::NotOwner);
    // The upstreams' connections are scarce, and the next owner needs them.
    for (UpstreamLink& upstream : m_upstreams)
        upstream.pool().setState(Scheduling::UpstreamState::NoNewWork);
}

void GroupRunner::resume()
{
    const std::lock_guard lock(m_mutex);
    m_isReleased = false;
    applyCatalog(steadyNow());
}

bool GroupRunner::isIdle() const
{
    const std::lock_guard lock(m_mutex);
    return m_active == 0 && m_transactions.size() == 0;
}

GroupRunner::Status GroupRunner::status() const
{
    const std::lock_guard lock(m_mutex);
    Status status;
    if (const auto primary = m_group.primary(steadyNow())) {
        status.primary = primary->member;
        status.term = primary->term;
    }
    status.queued = m_waiters.size();
    status.transactions = m_transactions.size();
    return status;
}

GroupAnswer GroupRunner::run(const GroupRequest& request)
{
    Logging::Span span("owner", Logging::parseTraceparent(request.traceparent));
    GroupRequest traced = request;
    traced.traceparent = Logging::formatTraceparent(span.context());
    {
        const std::lock_guard lock(m_mutex);
        if (m_isReleased && request.transactionId.empty())
            return refusal(ErrorCode::NotOwner);
        ++m_active;
    }
    GroupAnswer answer;
    switch (request.operation) {
    case Operation::Statement:
        answer = runStatement(traced);
        break;
    case Operation::Begin:
        answer = runBegin(traced);
        break;
    case Operation::TransactionStatement:
    case Operation::Commit:
    case Operation::Rollback:
        answer = runInTransaction(traced);
        break;
    }
    if (answer.error)
        span.setStatus(answer.error->info().name);
    const std::lock_guard lock(m_mutex);
    --m_active;
    return answer;
}

GroupAnswer GroupRunner::runStatement(const GroupRequest& request)
{
    Lock lock(m_mutex);
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        auto assignment = await(request, 0, lock);
        if (!assignment)
            return { assignment.error(), {}, {}, {}, {} };
        if (request.isWrite) {
            ++m_runningWrites;
            updateWriteCount();
        }
        // A read that got no answer is tried once more, so its first attempt leaves time for that.
        const bool mayRepeat = !request.isWrite && attempt == 0;
        const Time sentAt = steadyNow();
        const milliseconds left = timeLeft(request.deadline, sentAt) + milliseconds(1);
        const StatementReply reply = callStatement(request, *assignment, mayRepeat ? left / 2 : left, lock);
        if (request.isWrite) {
            --m_runningWrites;
            updateWriteCount();
        }
        const bool didNotRun = reply.status == ReplyStatus::NotSent || reply.status == ReplyStatus::StaleTerm;
        const bool isRepeated = didNotRun || (mayRepeat && reply.status == ReplyStatus::NoAnswer);
        if (!isRepeated || attempt + 1 == maxAttempts)
            return finishStatement(request, *assignment, reply, sentAt, lock);
        endUse(*assignment, completionOf(reply.status));
        m_group.observeFailure(assignment->upstream, Replication::ConnectionKind::Established, steadyNow());
        // The view of the members is out of date; the probe that the failure asks for brings a new one.
        m_reported.wait_for(lock, pauseAfterStaleTerm);
    }
    return refusal(ErrorCode::NoPrimary);
}

StatementReply GroupRunner::callStatement(
    const GroupRequest& request, const Assignment& assignment, milliseconds timeout, Lock& lock)
{
    const RunningCall call(*this, assignment, lock);
    Logging::Span span("upstream", Logging::parseTraceparent(request.traceparent));
    if (request.operation == Operation::Commit)
        return assignment.client->commit(request.requestId, timeout);
    if (request.operation == Operation::Rollback)
        return assignment.client->rollback(timeout);
    const bool isInTransaction = request.operation == Operation::TransactionStatement;
    const Database::Statement statement { request.sql, request.params, request.isWrite, request.requestId,
        isInTransaction };
    return assignment.client->execute(
        assignment.term, statement, Logging::formatTraceparent(span.context()), timeout);
}

void GroupRunner::abortHopelessCalls(Time now)
{
    const auto members = m_group.members();
    for (const Assignment* call : m_calls) {
        const auto member = std::ranges::find(members, call->upstream, &Replication::MemberView::name);
        const bool isFailed = member != members.end() && member->isFailed(now);
        // Reads carry the term of a replica's last report; for them only a failed member counts.
        if (isFailed || (call->isTermBound && Replication::isSuperseded(call->term, members)))
            call->client->abort();
    }
}

GroupAnswer GroupRunner::finishStatement(const GroupRequest& request, const Assignment& assignment,
    const StatementReply& reply, Time sentAt, Lock& lock)
{
    endUse(assignment, completionOf(reply.status));
    switch (reply.status) {
    case ReplyStatus::Done:
        if (request.isWrite)
            return awaitConfirmation(request, assignment, reply, sentAt, lock);
        return { std::nullopt, reply.result, {}, {}, assignment.upstream };
    case ReplyStatus::StatementFailed:
        return refusal(ErrorCode::StatementFailed, reply.message);
    case ReplyStatus::NoAnswer:
        m_group.observeFailure(assignment.upstream, Replication::ConnectionKind::Established, steadyNow());
        m_context.metrics->counter("parsleytack_upstream_silent_total").add();
        return refusal(ErrorCode::OutcomeUnknown);
    case ReplyStatus::StaleTerm:
    case ReplyStatus::NotSent:
    case ReplyStatus::TooManyConnections:
    case ReplyStatus::TransactionGone:
        break;
    }
    return refusal(ErrorCode::NoPrimary, "the upstream cannot be reached or has another term");
}

GroupAnswer GroupRunner::awaitConfirmation(const GroupRequest& request, const Assignment& assignment,
    const StatementReply& reply, Time sentAt, Lock& lock)
{
    const Model::LogPosition needed
        = m_group.observeWrite(assignment.upstream, assignment.term, reply.position, sentAt, steadyNow());
    const auto isDecided
        = [this, needed] { return m_group.confirmation(needed) != Replication::Confirmation::Pending; };
    const bool isInTime = m_reported.wait_until(lock, toSteady(request.deadline), isDecided);
    if (!isInTime || !m_group.isConfirmed(needed))
        return refusal(ErrorCode::OutcomeUnknown, "the write was not confirmed by a majority in time");
    return { std::nullopt, reply.result, needed, {}, assignment.upstream };
}

GroupAnswer GroupRunner::runBegin(const GroupRequest& request)
{
    Lock lock(m_mutex);
    if (m_transactions.count(request.customer)
        >= static_cast<std::size_t>(m_catalog->limits().openTransactions))
        return refusal(ErrorCode::TooManyTransactions);
    const Scheduling::TransactionId number = m_transactions.reserveNumber();
    auto assignment = await(request, number, lock);
    if (!assignment)
        return { assignment.error(), {}, {}, {}, {} };
    const milliseconds ttl(m_catalog->limits().transactionIdleMs);
    lock.unlock();
    const StatementReply reply = assignment->client->begin(
        assignment->term, ttl, timeLeft(request.deadline, steadyNow()) + milliseconds(1));
    lock.lock();
    if (reply.status != ReplyStatus::Done) {
        // A transaction that may have begun ends with its connection, so nothing ran.
        endUse(*assignment, Completion::Broken);
        m_group.observeFailure(assignment->upstream, Replication::ConnectionKind::Established, steadyNow());
        return refusal(ErrorCode::NoPrimary);
    }
    endUse(*assignment, Completion::Done);
    GroupAnswer answer;
    answer.upstream = assignment->upstream;
    answer.transactionId = m_transactions.add(
        { number, request.customer, request.keyName, assignment->upstream, assignment->term });
    updateWriteCount();
    return answer;
}

GroupAnswer GroupRunner::runInTransaction(const GroupRequest& request)
{
    Lock lock(m_mutex);
    const OpenTransaction* found = m_transactions.find(request.transactionId, request.customer);
    if (!found)
        return refusal(ErrorCode::TransactionUnknown);
    const OpenTransaction transaction = *found;
    auto assignment = await(request, transaction.number, lock);
    if (!assignment)
        return { assignment.error(), {}, {}, {}, {} };
    assignment->term = transaction.term;
    const Time sentAt = steadyNow();
    const milliseconds timeout = timeLeft(request.deadline, sentAt) + milliseconds(1);
    const StatementReply reply = callStatement(request, *assignment, timeout, lock);
    return finishInTransaction(request, transaction, *assignment, reply, sentAt, lock);
}

GroupAnswer GroupRunner::finishInTransaction(const GroupRequest& request, const OpenTransaction& transaction,
    const Assignment& assignment, const StatementReply& reply, Time sentAt, Lock& lock)
{
    const bool isEnd = request.operation != Operation::TransactionStatement;
    const bool isRevoked = !m_transactions.find(request.transactionId, request.customer);
    if (isRevoked && !isEnd) {
        endUse(assignment, Completion::Broken);
        return refusal(ErrorCode::TransactionAborted);
    }
    if (reply.status == ReplyStatus::StatementFailed) {
        endUse(assignment, Completion::Done);
        return refusal(ErrorCode::StatementFailed, reply.message);
    }
    if (reply.status == ReplyStatus::Done && !isEnd) {
        endUse(assignment, Completion::Done);
        return { std::nullopt, reply.result, {}, {}, assignment.upstream };
    }
    m_transactions.removeNumber(transaction.number);
    const bool isClean = reply.status == ReplyStatus::Done;
    endUse(assignment, isClean ? Completion::TransactionEnded : Completion::Broken);
    updateWriteCount();
    if (!isClean)
        m_group.observeFailure(assignment.upstream, Replication::ConnectionKind::Established, steadyNow());
    if (request.operation == Operation::Commit) {
        if (isClean)
            return awaitConfirmation(request, assignment, reply, sentAt, lock);
        if (reply.status == ReplyStatus::NoAnswer)
            return refusal(ErrorCode::OutcomeUnknown);
    }
    // Without a commit, the upstream rolls everything back when the connection closes.
    const bool isRolledBack = request.operation == Operation::Rollback;
    return isRolledBack ? GroupAnswer { std::nullopt, reply.result, {}, {}, assignment.upstream }
                        : refusal(ErrorCode::TransactionAborted);
}

Model::Result<GroupRunner::Assignment> GroupRunner::await(
    const GroupRequest& request, Scheduling::TransactionId transaction, Lock& lock)
{
    const Time now = steadyNow();
    std::optional<Assignment> assignment;
    Waiter waiter;
    waiter.request = &request;
    waiter.transaction = transaction;
    waiter.arrivedAt = now;
    waiter.assignment = &assignment;
    Scheduling::QueueItem item { m_nextItem++, request.customer, request.keyName };
    item.deadline = request.deadline;
    if (request.operation == Operation::Begin) {
        waiter.kind = StatementKind::Begin;
    } else if (!request.transactionId.empty()) {
        waiter.kind = StatementKind::InTransaction;
        const OpenTransaction* open = m_transactions.find(request.transactionId, request.customer);
        waiter.member = open ? open->upstream : std::string();
        item.placement = Placement::Member;
        item.member = waiter.member;
    } else if (request.isWrite) {
        waiter.kind = StatementKind::Write;
    } else {
        item.placement = Placement::AnyMember;
    }
    const std::uint64_t id = item.id;
    if (m_isStopping)
        return makeError(ErrorCode::Draining);
    // The ownership may have moved since the request came in; nothing would take it out of the queue then.
    if (m_isReleased && waiter.kind != StatementKind::InTransaction)
        return makeError(ErrorCode::NotOwner);
    if (!isKeyActive(request.keyName, request.customer))
        return makeError(ErrorCode::KeyInvalid);
    if (auto pushed = m_queue.push(std::move(item), now); !pushed)
        return tl::unexpected(pushed.error());
    m_waiters[id] = &waiter;
    dispatch(now);
    waiter.wake.wait_until(lock, toSteady(request.deadline),
        [&] { return assignment.has_value() || waiter.refusal.has_value(); });
    m_waiters.erase(id);
    if (assignment)
        return *assignment;
    m_queue.remove(id);
    if (waiter.refusal)
        return makeError(*waiter.refusal);
    return makeError(timeoutCode(waiter));
}

void GroupRunner::endUse(const Assignment& assignment, Completion completion)
{
    const Time now = steadyNow();
    UpstreamLink* upstream = find(assignment.upstream);
    if (!upstream)
        return;
    if (!upstream->pool().finish(assignment.connection, completion, now))
        upstream->dropClient(assignment.connection);
    dispatch(now);
}

void GroupRunner::endTransaction(const std::string& id)
{
    const auto found = m_transactions.all().find(id);
    if (found == m_transactions.all().end())
        return;
    const OpenTransaction transaction = found->second;
    m_transactions.remove(id);
    updateWriteCount();
    UpstreamLink* upstream = find(transaction.upstream);
    // A running statement ends first; its connection is closed when it finds the transaction gone.
    if (!upstream || !upstream->pool().canResume(transaction.number))
        return;
    const Time now = steadyNow();
    const auto connection = upstream->pool().resume(transaction.number, now);
    if (connection && !upstream->pool().finish(*connection, Completion::Broken, now))
        upstream->dropClient(*connection);
}

void GroupRunner::updateWriteCount() { m_group.setWritesInProgress(m_runningWrites + m_transactions.size()); }

UpstreamLink* GroupRunner::find(const std::string& upstream)
{
    const auto found = std::ranges::find(m_upstreams, upstream, &UpstreamLink::name);
    return found == m_upstreams.end() ? nullptr : &*found;
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
    // A transaction reads on the primary, which may be one that was replaced without this host knowing.
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
    // A waiter that was assigned a connection is no longer waiting.
    if (!waiter.assignment->has_value()) {
        waiter.refusal = code;
        waiter.wake.notify_all();
    }
    m_waiters.erase(found);
}

ErrorCode GroupRunner::timeoutCode(const Waiter& waiter) const
{
    const bool needsPrimary = waiter.kind == StatementKind::Write || waiter.kind == StatementKind::Begin;
    return needsPrimary && !m_group.primary(steadyNow()) ? ErrorCode::NoPrimary : ErrorCode::DeadlineExceeded;
}

void GroupRunner::refuseHopeless(Time now)
{
    updateLoads(now);
    std::vector<std::pair<std::uint64_t, ErrorCode>> hopeless;
    for (const auto& [id, waiter] : m_waiters) {
        if (waiter->assignment->has_value())
            continue;
        if (waiter->kind == StatementKind::Read) {
            const ReadRoute::Kind kind = m_group.routeRead(readRequest(*waiter), m_loads, now).kind;
            if (kind == ReadRoute::Kind::PositionLost)
                hopeless.emplace_back(id, ErrorCode::SessionPositionLost);
            else if (kind == ReadRoute::Kind::Unavailable)
                hopeless.emplace_back(id, ErrorCode::NoPrimary);
        } else if (waiter->kind == StatementKind::InTransaction) {
            if (!m_transactions.find(waiter->request->transactionId, waiter->request->customer))
                hopeless.emplace_back(id, ErrorCode::TransactionAborted);
        } else if (m_group.routeWrite(waiter->arrivedAt, now).kind == WriteRoute::Kind::NoPrimary) {
            hopeless.emplace_back(id, ErrorCode::NoPrimary);
        }
    }
    for (const auto& [id, code] : hopeless)
        refuse(id, code);
}

void GroupRunner::onReport()
{
    bool isUrgent = false;
    {
        const std::lock_guard lock(m_mutex);
        isUrgent = m_group.isPromoting() || m_group.isHoldingWrites() || !m_group.primary(steadyNow());
    }
    m_reported.notify_all();
    // Under load there are thousands of reports a second; a tick for each would cost more than the
    // statements.
    if (isUrgent)
        m_tickDue.notify_all();
}

void GroupRunner::runTicks()
{
    while (true) {
        {
            Lock lock(m_mutex);
            m_tickDue.wait_for(lock, tickInterval);
            if (m_isStopping)
                return;
        }
        tick();
    }
}

void GroupRunner::tick()
{
    std::vector<Replication::Action> actions;
    {
        const Lock lock(m_mutex);
        const Time now = steadyNow();
        const bool wasPromoting = m_group.isPromoting();
        reportSuspicion();
        actions = m_group.nextActions(now, m_generator);
        if (!wasPromoting && m_group.isPromoting())
            Logging::write(Logging::EventId::PromotionStarted, { { "service", m_context.service } });
        if (wasPromoting && !m_group.isPromoting()) {
            const auto primary = m_group.primary(now);
            Logging::write(primary ? Logging::EventId::PromotionFinished : Logging::EventId::PromotionFailed,
                { { "service", m_context.service }, { "primary", primary ? primary->member : "" },
                    { "term", std::to_string(primary ? primary->term : 0) } });
            m_context.metrics->counter("parsleytack_promotions_total").add();
        }
        for (const Scheduling::QueueItem& item : m_queue.expire(now)) {
            if (const auto found = m_waiters.find(item.id); found != m_waiters.end())
                refuse(item.id, timeoutCode(*found->second));
        }
        refuseHopeless(now);
        abortHopelessCalls(now);
        for (UpstreamLink& upstream : m_upstreams) {
            expireTransactions(upstream, now);
            planConnections(upstream, now);
        }
        dispatch(now);
    }
    for (const Replication::Action& action : actions)
        m_monitor.perform(action);
}

void GroupRunner::reportSuspicion()
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
        upstream.dropClient(expired.connection);
        m_transactions.removeNumber(expired.transaction);
    }
    updateWriteCount();
}

void GroupRunner::planConnections(UpstreamLink& upstream, Time now)
{
    for (const Scheduling::PoolAction& action : upstream.pool().plan(m_queue.size(), now)) {
        const std::string name = upstream.name();
        const ConnectionId connection = action.connection;
        bool isPosted = true;
        if (action.kind == Scheduling::PoolActionKind::Close)
            upstream.dropClient(connection);
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
            upstream.dropClient(connection);
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
        upstream->dropClient(connection);
        Logging::write(Logging::EventId::UpstreamSilent, { { "upstream", name } });
    }
    dispatch(now);
}

}
