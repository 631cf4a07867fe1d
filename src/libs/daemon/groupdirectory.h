#pragma once

#include "daemon/grouprunner.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Daemon {

/// The runners of the groups that this host owns, and of those that it no longer owns until their last
/// request and transaction have ended. Any thread may use it.
class GroupDirectory {
public:
    struct Context {
        std::string host;
        std::string zone;
        std::string transactionPrefix;
        WorkerPool* workers = nullptr;
        Metrics::Registry* metrics = nullptr;
    };

    explicit GroupDirectory(Context context);

    /// Runs a request and blocks until its end. Without a runner for the service, the error is `not_owner`,
    /// or `transaction_unknown` for a request in a transaction.
    GroupAnswer run(const GroupRequest& request);
    /// Sets the services that this host owns and the catalogue in force, and removes idle runners of other
    /// services.
    void update(const std::vector<std::string>& services, const Catalog::SnapshotPointer& catalog);
    /// Destroys all runners. Requests that are still queued are refused with `draining`.
    void clear();
    bool isIdle() const;

    struct ServiceStatus {
        std::string service;
        GroupRunner::Status status;
    };
    std::vector<ServiceStatus> status() const;

private:
    using RunnerPointer = std::shared_ptr<GroupRunner>;

    RunnerPointer find(const std::string& service) const;

    Context m_context;
    mutable std::mutex m_mutex;
    std::map<std::string, RunnerPointer> m_runners;
    std::map<std::string, bool> m_isOwned;
};

}
