#pragma once

#include "core/replication/group.h"
#include "daemon/taskscope.h"
#include "database/upstreamclient.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Daemon {

/// Carries out the actions of a group and reports their results to it. Owns one thread and two connections
/// for each member: one for the long poll for positions, one for probes. Other calls, and probes that require
/// a new connection, open a connection of their own.
class GroupMonitor {
public:
    /// `mutex` guards `group`; `onReport` is called after each report, without the mutex.
    GroupMonitor(
        std::mutex& mutex, Replication::Group& group, std::function<void()> onReport, WorkerPool& workers);
    ~GroupMonitor();
    GroupMonitor(const GroupMonitor&) = delete;
    GroupMonitor& operator=(const GroupMonitor&) = delete;

    /// Replaces the members to watch; `addresses` is by member name. Blocks until the polls of removed
    /// members have ended. Call it without holding the mutex.
    void setMembers(const std::map<std::string, std::string>& addresses);
    /// Posts one action to the worker pool. Call it without holding the mutex.
    void perform(const Replication::Action& action);
    void stop();

private:
    struct WatchedMember;
    using WatchedMemberPointer = std::shared_ptr<WatchedMember>;

    void poll(const WatchedMemberPointer& watched);
    void probe(const WatchedMemberPointer& watched, Replication::ConnectionKind connection);
    void fence(const WatchedMemberPointer& watched, std::uint64_t term);
    void promote(const WatchedMemberPointer& watched, const Replication::Promote& action);
    void follow(const WatchedMemberPointer& watched, const Replication::Follow& action);
    /// `hasRole`: the reply includes the role of the member.
    void report(const WatchedMember& watched, const Database::StatusReply& reply, bool hasRole,
        Replication::ConnectionKind connection, Model::Time sentAt);
    WatchedMemberPointer find(const std::string& member) const;

    std::mutex& m_mutex;
    Replication::Group& m_group;
    std::function<void()> m_onReport;
    mutable std::mutex m_watchedMutex;
    std::map<std::string, WatchedMemberPointer> m_watched;
    TaskScope m_tasks;
};

}
