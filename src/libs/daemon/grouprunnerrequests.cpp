#include "daemon/clock.h"
#include "daemon/grouprunnerparts.h"
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
using Scheduling::Completion;
using Scheduling::Placement;
using std::chrono::milliseconds;

namespace {

    /// Attempts of one statement that does not reach its upstream or is rejected for its term, the first
    /// attempt included.
    constexpr int maxAttempts = 5;
    constexpr milliseconds pauseBeforeRetry(20);

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
        case ReplyStatus::TransactionUnknown:
            break;
        }
        return Completion::Broken;
    }

}

/// Registers a running call, so that `abortObsoleteCalls` can abort it. The mutex is released for its
/// lifetime.
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

GroupAnswer GroupRunner::run(const GroupRequest& request)
{
    Logging::Span span("owner", Logging::parseTraceparent(request.traceparent));
    GroupRequest traced = request;
    traced.traceparent = Logging::formatTraceparent(span.context());
    {
        const std::lock_guard lock(m_mutex);
        if (m_isReleased && request.transactionId.empty())
            return errorAnswer(ErrorCode::NotOwner);
        ++m_activeRequests;
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
    --m_activeRequests;
    return answer;
}

GroupAnswer GroupRunner::runStatement(const GroupRequest& request)
{
    Lock lock(m_mutex);
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        auto assignment = awaitAssignment(request, 0, lock);
        if (!assignment)
            return { assignment.error(), {}, {}, {}, {} };
        if (request.isWrite) {
            ++m_runningWrites;
            updateWriteCount();
        }
        // A read without a response is retried once, so its first attempt may use only half of the time left.
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
        releaseConnection(*assignment, completionOf(reply.status));
        m_group.observeFailure(assignment->upstream, Replication::ConnectionKind::Established, steadyNow());
        // The view of the members is out of date. The reported failure triggers a probe, which updates it.
        m_reported.wait_for(lock, pauseBeforeRetry);
    }
    return errorAnswer(ErrorCode::NoPrimary);
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

void GroupRunner::abortObsoleteCalls(Time now)
{
    const auto members = m_group.members();
    for (const Assignment* call : m_calls) {
        const auto member = std::ranges::find(members, call->upstream, &Replication::MemberView::name);
        const bool isFailed = member != members.end() && member->isFailed(now);
        // Reads carry the term of a replica's last report, so they are aborted only if their member failed.
        if (isFailed || (call->isTermBound && Replication::isSuperseded(call->term, members)))
            call->client->abort();
    }
}

GroupAnswer GroupRunner::finishStatement(const GroupRequest& request, const Assignment& assignment,
    const StatementReply& reply, Time sentAt, Lock& lock)
{
    releaseConnection(assignment, completionOf(reply.status));
    switch (reply.status) {
    case ReplyStatus::Done:
        if (request.isWrite)
            return awaitConfirmation(request, assignment, reply, sentAt, lock);
        return { std::nullopt, reply.result, {}, {}, assignment.upstream };
    case ReplyStatus::StatementFailed:
        return errorAnswer(ErrorCode::StatementFailed, reply.message);
    case ReplyStatus::NoAnswer:
        m_group.observeFailure(assignment.upstream, Replication::ConnectionKind::Established, steadyNow());
        m_context.metrics->counter("parsleytack_upstream_silent_total").add();
        return errorAnswer(ErrorCode::OutcomeUnknown);
    case ReplyStatus::StaleTerm:
    case ReplyStatus::NotSent:
    case ReplyStatus::TooManyConnections:
    case ReplyStatus::TransactionUnknown:
        break;
    }
    return errorAnswer(
        ErrorCode::NoPrimary, "the upstream is unreachable or rejected the term of the statement");
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
        return errorAnswer(ErrorCode::OutcomeUnknown, "the write was not confirmed by a majority in time");
    return { std::nullopt, reply.result, needed, {}, assignment.upstream };
}

GroupAnswer GroupRunner::runBegin(const GroupRequest& request)
{
    Lock lock(m_mutex);
    if (m_transactions.count(request.customer)
        >= static_cast<std::size_t>(m_catalog->limits().openTransactions))
        return errorAnswer(ErrorCode::TooManyTransactions);
    const Scheduling::TransactionId number = m_transactions.reserveNumber();
    auto assignment = awaitAssignment(request, number, lock);
    if (!assignment)
        return { assignment.error(), {}, {}, {}, {} };
    const milliseconds ttl(m_catalog->limits().transactionIdleMs);
    lock.unlock();
    const StatementReply reply = assignment->client->begin(
        assignment->term, ttl, timeLeft(request.deadline, steadyNow()) + milliseconds(1));
    lock.lock();
    if (reply.status != ReplyStatus::Done) {
        // Closing the connection also ends a transaction that may have begun, so nothing has run.
        releaseConnection(*assignment, Completion::Broken);
        m_group.observeFailure(assignment->upstream, Replication::ConnectionKind::Established, steadyNow());
        return errorAnswer(ErrorCode::NoPrimary);
    }
    releaseConnection(*assignment, Completion::Done);
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
        return errorAnswer(ErrorCode::TransactionUnknown);
    const OpenTransaction transaction = *found;
    auto assignment = awaitAssignment(request, transaction.number, lock);
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
    const bool isKeyWithdrawn = !m_transactions.find(request.transactionId, request.customer);
    if (isKeyWithdrawn && !isEnd) {
        releaseConnection(assignment, Completion::Broken);
        return errorAnswer(ErrorCode::TransactionAborted);
    }
    if (reply.status == ReplyStatus::StatementFailed) {
        releaseConnection(assignment, Completion::Done);
        return errorAnswer(ErrorCode::StatementFailed, reply.message);
    }
    if (reply.status == ReplyStatus::Done && !isEnd) {
        releaseConnection(assignment, Completion::Done);
        return { std::nullopt, reply.result, {}, {}, assignment.upstream };
    }
    m_transactions.removeNumber(transaction.number);
    const bool hasSucceeded = reply.status == ReplyStatus::Done;
    releaseConnection(assignment, hasSucceeded ? Completion::TransactionEnded : Completion::Broken);
    updateWriteCount();
    if (!hasSucceeded)
        m_group.observeFailure(assignment.upstream, Replication::ConnectionKind::Established, steadyNow());
    if (request.operation == Operation::Commit) {
        if (hasSucceeded)
            return awaitConfirmation(request, assignment, reply, sentAt, lock);
        if (reply.status == ReplyStatus::NoAnswer)
            return errorAnswer(ErrorCode::OutcomeUnknown);
    }
    // Without a commit, the upstream rolls the transaction back when the connection closes.
    const bool isRolledBack = request.operation == Operation::Rollback;
    return isRolledBack ? GroupAnswer { std::nullopt, reply.result, {}, {}, assignment.upstream }
                        : errorAnswer(ErrorCode::TransactionAborted);
}

Model::Result<GroupRunner::Assignment> GroupRunner::awaitAssignment(
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
    // The ownership may have moved since `run` accepted the request. `release` has refused the queued
    // requests already, so one that is queued later would wait until its deadline.
    if (m_isReleased && waiter.kind != StatementKind::InTransaction)
        return makeError(ErrorCode::NotOwner);
    if (!isKeyActive(request.keyName, request.customer))
        return makeError(ErrorCode::KeyInvalid);
    if (auto pushed = m_queue.push(std::move(item), now); !pushed)
        return tl::unexpected(pushed.error());
    m_waiters[id] = &waiter;
    dispatch(now);
    waiter.wake.wait_until(lock, toSteady(request.deadline),
        [&] { return assignment.has_value() || waiter.refusalCode.has_value(); });
    m_waiters.erase(id);
    if (assignment)
        return *assignment;
    m_queue.remove(id);
    if (waiter.refusalCode)
        return makeError(*waiter.refusalCode);
    return makeError(timeoutCode(waiter));
}

void GroupRunner::releaseConnection(const Assignment& assignment, Completion completion)
{
    const Time now = steadyNow();
    UpstreamLink* upstream = find(assignment.upstream);
    if (!upstream)
        return;
    if (!upstream->pool().finish(assignment.connection, completion, now))
        upstream->removeClient(assignment.connection);
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
    // A running statement completes first. `finishInTransaction` closes its connection when it finds that the
    // transaction no longer exists.
    if (!upstream || !upstream->pool().canResume(transaction.number))
        return;
    const Time now = steadyNow();
    const auto connection = upstream->pool().resume(transaction.number, now);
    if (connection && !upstream->pool().finish(*connection, Completion::Broken, now))
        upstream->removeClient(*connection);
}

void GroupRunner::updateWriteCount() { m_group.setWritesInProgress(m_runningWrites + m_transactions.size()); }

UpstreamLink* GroupRunner::find(const std::string& upstream)
{
    const auto found = std::ranges::find(m_upstreams, upstream, &UpstreamLink::name);
    return found == m_upstreams.end() ? nullptr : &*found;
}

}
