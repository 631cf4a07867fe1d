#pragma once

#include "core/scheduling/retrybudget.h"
#include "daemon/catalogholder.h"
#include "daemon/grouprequest.h"
#include "gateway/callerrequest.h"
#include "metrics/registry.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace Daemon {

/// Functions of the host that the router uses. All are called on the thread that calls
/// `RequestRouter::serve`.
struct RouterHooks {
    /// The error with which new requests are refused now, for example `draining`; nothing if they are
    /// accepted.
    std::function<std::optional<Model::Error>()> refusalReason;
    /// As `refusalReason`, but only for requests with a key: `isolated`.
    std::function<std::optional<Model::Error>()> keyedRefusalReason;
    /// Takes one token from the customer's rate and burst. Waits at most `Quota::TokenCache::maxWait`, and
    /// not beyond `deadline`. Errors: `rate_limited`, `key_invalid` if the customer no longer exists.
    std::function<Model::Result<void>(const std::string& customer, Model::Time deadline)> admit;
    /// Host that currently owns the service's group; empty if there is none.
    std::function<std::string(const std::string& service)> ownerOf;
    /// Host that opened the transaction; empty if the process that opened it has ended.
    std::function<std::string(const std::string& transactionId)> transactionHostOf;
    /// Runs the request on the named host, which may be this one.
    std::function<GroupAnswer(const std::string& host, const GroupRequest&)> run;
};

/// Serves callers' requests on the entry host: checks key, route, session token and rate, and has the group's
/// owner run the request, with retries. Any thread may use it.
class RequestRouter {
public:
    RequestRouter(const CatalogHolder& catalog, Metrics::Registry& metrics, RouterHooks hooks);

    /// Blocks until the request has been answered.
    Gateway::CallerResponse serve(const Gateway::CallerRequest& request);

private:
    struct AdmittedRequest;
    Model::Result<AdmittedRequest> admit(const Gateway::CallerRequest& request, Model::Time now);
    GroupAnswer runWithRetries(const GroupRequest& request);
    GroupAnswer runOnce(const GroupRequest& request);
    /// Whether the request is sent again. Counts a redirect, or takes one retry from the budget.
    bool mayRetry(const GroupRequest& request, const GroupAnswer& answer, int& redirects);
    /// Records the metrics of a request that began at `start`.
    Gateway::CallerResponse finish(Gateway::CallerResponse answer, Model::Time start);

    const CatalogHolder& m_catalog;
    Metrics::Registry& m_metrics;
    RouterHooks m_hooks;
    std::mutex m_retryMutex;
    Scheduling::RetryBudget m_retryBudget;
};

}
