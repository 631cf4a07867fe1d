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

/// What the router asks of the rest of the host. All are called on the caller's thread.
struct RouterHooks {
    /// A reason to refuse new requests at present, for example `draining`.
    std::function<std::optional<Model::Error>()> refusalReason;
    /// A reason to refuse requests with a key at present: `isolated`.
    std::function<std::optional<Model::Error>()> keyedRefusalReason;
    /// Takes one token of the customer's rate and burst, waiting up to a bounded time.
    std::function<Model::Result<void>(const std::string& customer, Model::Time deadline)> admit;
    /// Host that owns the group now; empty if there is none.
    std::function<std::string(const std::string& service)> ownerOf;
    /// Host that holds an open transaction; empty if its process is gone.
    std::function<std::string(const std::string& transactionId)> holderOf;
    /// Runs the request on the named host, which may be this one.
    std::function<GroupAnswer(const std::string& host, const GroupRequest&)> run;
};

/// Serves callers' requests on the entry host: key, route, session token, rate, and the way to the group's
/// owner. Any thread may use it.
class RequestRouter {
public:
    RequestRouter(const CatalogHolder& catalog, Metrics::Registry& metrics, RouterHooks hooks);

    Gateway::CallerResponse serve(const Gateway::CallerRequest& request);

private:
    struct Admitted;
    Model::Result<Admitted> admit(const Gateway::CallerRequest& request, Model::Time now);
    GroupAnswer runWithRetries(const GroupRequest& request);
    GroupAnswer runOnce(const GroupRequest& request);
    bool mayRetry(const GroupRequest& request, const GroupAnswer& answer, int& redirects);
    Gateway::CallerResponse finish(Gateway::CallerResponse answer, Model::Time start);

    const CatalogHolder& m_catalog;
    Metrics::Registry& m_metrics;
    RouterHooks m_hooks;
    std::mutex m_retryMutex;
    Scheduling::RetryBudget m_retryBudget;
};

}
