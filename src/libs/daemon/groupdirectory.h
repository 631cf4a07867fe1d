#pragma once

#include "daemon/grouprunner.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Daemon {

/// The groups that this host owns, or owned until their last transaction ends. Any thread may use it.
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

    /// `not_owner` if this host does not own the group.
    GroupAnswer run(const GroupRequest& request);
    /// Owns exactly these services from now on, under this catalogue.
    void update(const std::vector<std::string>& services, const Catalog::SnapshotPointer& catalog);
    /// Ends all runners. They must be idle, or their queued requests are refused.
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
