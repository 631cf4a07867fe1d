#include "daemon/requestrouter.h"

#include "core/scheduling/backoff.h"
#include "core/session/requestid.h"
#include "core/session/sessiontoken.h"
#include "daemon/clock.h"
#include "logging/span.h"

#include <thread>

namespace Daemon {

using Gateway::CallerRequest;
using Gateway::CallerResponse;
using Gateway::Operation;
using Model::ErrorCode;
using Model::makeError;

/// A request that passed all checks of the entry host.
struct RequestRouter::AdmittedRequest {
    CatalogInForcePointer catalog;
    Session::SessionToken token;
    GroupRequest request;
};

namespace {

    /// Retries of one request, outside the retry budget, after it reached a host that no longer owns the
    /// group.
    constexpr int maxRedirects = 10;

    bool writes(const CallerRequest& request)
    {
        return (request.operation == Operation::Statement && request.isWrite)
            || request.operation == Operation::Commit;
    }

    GroupRequest toGroupRequest(const CallerRequest& request, Model::Time now)
    {
        GroupRequest result;
        result.operation = request.operation;
        result.sql = request.sql;
        result.params = request.params;
        result.isWrite = request.isWrite;
        if (request.maxAge)
            result.maxAge = std::chrono::duration_cast<Model::Duration>(*request.maxAge);
        result.transactionId = request.transactionId;
        result.deadline = now + request.timeout;
        return result;
    }

    std::mt19937_64& threadGenerator()
    {
        thread_local std::mt19937_64 generator(std::random_device {}());
        return generator;
    }

}

RequestRouter::RequestRouter(const CatalogHolder& catalog, Metrics::Registry& metrics, RouterHooks hooks)
    : m_catalog(catalog)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

CallerResponse RequestRouter::serve(const CallerRequest& request)
{
    const Model::Time start = steadyNow();
    Logging::Span span("entry", Logging::parseTraceparent(request.traceparent));
    auto admitted = admit(request, start);
    if (!admitted) {
        span.setStatus(admitted.error().info().name);
        return finish({ admitted.error(), {}, {}, {} }, start);
    }
    admitted->request.traceparent = Logging::formatTraceparent(span.context());
    const GroupAnswer reply = runWithRetries(admitted->request);
    CallerResponse answer { reply.error, reply.result, {}, reply.transactionId };
    if (reply.error)
        span.setStatus(reply.error->info().name);
    else if (writes(request) && reply.position != Model::LogPosition {})
        admitted->token.record(admitted->request.service, reply.position);
    if (!reply.error && !admitted->token.entries.empty())
        answer.sessionToken = Session::encodeToken(admitted->token, admitted->catalog->tokenKeys);
    return finish(std::move(answer), start);
}

Model::Result<RequestRouter::AdmittedRequest> RequestRouter::admit(
    const CallerRequest& request, Model::Time now)
{
    if (auto reason = m_hooks.refusalReason())
        return tl::unexpected(*reason);
    AdmittedRequest admitted { m_catalog.current(), {}, toGroupRequest(request, now) };
    if (!admitted.catalog)
        return makeError(ErrorCode::NotReady);
    const Catalog::Snapshot& snapshot = *admitted.catalog->snapshot;
    const Catalog::RouteEntry* route = snapshot.findRoute(request.route);
    if (!route)
        return makeError(ErrorCode::RouteUnknown);
    admitted.request.service = route->service->service->name;
    if (request.key.empty() && !route->isOpen())
        return makeError(ErrorCode::KeyMissing);
    if (!request.key.empty()) {
        if (auto reason = m_hooks.keyedRefusalReason())
            return tl::unexpected(*reason);
        const Catalog::KeyEntry* key = snapshot.findActiveKey(m_catalog.keyHasher().hash(request.key));
        if (!key)
            return makeError(ErrorCode::KeyInvalid);
        admitted.request.keyName = key->key->name;
        admitted.request.customer = key->customer->name;
    }
    const std::string& customer = admitted.request.customer;
    if (!route->allows(customer))
        return makeError(ErrorCode::RouteForbidden);
    admitted.token.customer = customer;
    if (!request.sessionToken.empty()) {
        auto token = Session::decodeToken(request.sessionToken, admitted.catalog->tokenKeys, customer);
        if (!token)
            return tl::unexpected(token.error());
        admitted.token = std::move(*token);
    }
    admitted.token.issuedAt = wallNow();
    admitted.request.sessionPosition = admitted.token.positionOf(admitted.request.service);
    if (!request.requestId.empty()) {
        if (auto checked = Session::checkRequestId(request.requestId, wallNow()); !checked)
            return tl::unexpected(checked.error());
        admitted.request.requestId = customer + "/" + request.requestId;
    }
    // Ending a transaction frees resources, so it takes no token.
    const bool isCounted = !customer.empty() && request.operation != Operation::Rollback
        && request.operation != Operation::Commit;
    if (isCounted) {
        if (auto taken = m_hooks.admit(customer, admitted.request.deadline); !taken)
            return tl::unexpected(taken.error());
    }
    return admitted;
}

GroupAnswer RequestRouter::runWithRetries(const GroupRequest& request)
{
    {
        const std::lock_guard lock(m_retryMutex);
        m_retryBudget.countRequest();
    }
    Scheduling::Backoff backoff;
    GroupAnswer answer = runOnce(request);
    int redirects = 0;
    while (answer.error && mayRetry(request, answer, redirects)) {
        const auto next = backoff.next(steadyNow(), request.deadline, threadGenerator());
        if (!next)
            break;
        std::this_thread::sleep_until(toSteady(*next));
        m_metrics.counter("parsleytack_retries_total").add();
        answer = runOnce(request);
    }
    return answer;
}

GroupAnswer RequestRouter::runOnce(const GroupRequest& request)
{
    const std::string host = request.transactionId.empty() ? m_hooks.ownerOf(request.service)
                                                           : m_hooks.transactionHostOf(request.transactionId);
    if (!host.empty())
        return m_hooks.run(host, request);
    return errorAnswer(
        request.transactionId.empty() ? ErrorCode::OwnerUnreachable : ErrorCode::TransactionUnknown);
}

bool RequestRouter::mayRetry(const GroupRequest& request, const GroupAnswer& answer, int& redirects)
{
    if (!request.transactionId.empty())
        return false;
    const std::error_code code = answer.error->code;
    // When the ownership moves, all requests of a group are redirected at once. This is no overload, and each
    // request finds the next owner after a few attempts, so redirects do not use the retry budget.
    if (code == ErrorCode::NotOwner && ++redirects <= maxRedirects)
        return true;
    const bool didNotRun = code == ErrorCode::NotOwner || code == ErrorCode::OwnerUnreachable
        || code == ErrorCode::NoPrimary || code == ErrorCode::Draining;
    const bool isIdempotent
        = request.operation == Operation::Statement && (!request.isWrite || !request.requestId.empty());
    if (!didNotRun && !(code == ErrorCode::OutcomeUnknown && isIdempotent))
        return false;
    const std::lock_guard lock(m_retryMutex);
    return m_retryBudget.tryRetry();
}

CallerResponse RequestRouter::finish(CallerResponse answer, Model::Time start)
{
    const std::string code(answer.error ? answer.error->info().name : "ok");
    m_metrics.counter("parsleytack_requests_total", "code=\"" + code + "\"").add();
    m_metrics.histogram("parsleytack_request_microseconds").record(steadyNow() - start);
    return answer;
}

}
