#include "daemon/groupmonitor.h"

#include "core/replication/timing.h"
#include "daemon/clock.h"

#include <atomic>

namespace Daemon {

using Database::ReplyStatus;
using Database::StatusReply;
using Replication::ConnectionKind;
using std::chrono::milliseconds;

namespace {

    /// Shorter than the probe interval, so that a poll detects an unresponsive connection as early as a probe
    /// does.
    constexpr milliseconds pollWait(400);
    /// A poll without a response after this time counts as failed.
    constexpr milliseconds pollTimeout(900);
    constexpr milliseconds pauseAfterFailure(100);
    constexpr milliseconds callTimeout = std::chrono::duration_cast<milliseconds>(Replication::callTimeout);

    bool hasAnswer(const StatusReply& reply)
    {
        return reply.status != ReplyStatus::NotSent && reply.status != ReplyStatus::NoAnswer;
    }

}

/// One member. Only its thread uses `pollClient`; `callMutex` guards `callClient`.
struct GroupMonitor::WatchedMember {
    WatchedMember(std::string memberName, std::string memberAddress)
        : name(std::move(memberName))
        , address(std::move(memberAddress))
        , pollClient(address)
        , callClient(address)
    {
    }

    std::string name;
    std::string address;
    std::atomic<bool> isStopping = false;
    Database::UpstreamClient pollClient;
    std::mutex callMutex;
    Database::UpstreamClient callClient;
    std::thread thread;
};

GroupMonitor::GroupMonitor(
    std::mutex& mutex, Replication::Group& group, std::function<void()> onReport, WorkerPool& workers)
    : m_mutex(mutex)
    , m_group(group)
    , m_onReport(std::move(onReport))
    , m_tasks(workers)
{
}

GroupMonitor::~GroupMonitor() { stop(); }

void GroupMonitor::setMembers(const std::map<std::string, std::string>& addresses)
{
    std::vector<WatchedMemberPointer> removed;
    {
        const std::lock_guard lock(m_watchedMutex);
        for (const auto& [name, watched] : m_watched) {
            const auto wanted = addresses.find(name);
            if (wanted == addresses.end() || wanted->second != watched->address)
                removed.push_back(watched);
        }
        for (const WatchedMemberPointer& watched : removed)
            m_watched.erase(watched->name);
        for (const auto& [name, address] : addresses) {
            if (m_watched.contains(name))
                continue;
            auto watched = std::make_shared<WatchedMember>(name, address);
            watched->thread = std::thread([this, watched] { poll(watched); });
            m_watched.emplace(name, std::move(watched));
        }
    }
    for (const WatchedMemberPointer& watched : removed)
        watched->isStopping = true;
    for (const WatchedMemberPointer& watched : removed)
        watched->thread.join();
}

void GroupMonitor::stop()
{
    m_tasks.close();
    setMembers({});
}

GroupMonitor::WatchedMemberPointer GroupMonitor::find(const std::string& member) const
{
    const std::lock_guard lock(m_watchedMutex);
    const auto found = m_watched.find(member);
    return found == m_watched.end() ? nullptr : found->second;
}

void GroupMonitor::poll(const WatchedMemberPointer& watched)
{
    while (!watched->isStopping) {
        Model::LogPosition next;
        {
            const std::lock_guard lock(m_mutex);
            for (const Replication::MemberView& member : m_group.members()) {
                if (member.name() == watched->name)
                    next = member.lastEntry();
            }
        }
        // The poll returns as soon as the member has the next log entry, so that a write is confirmed after
        // one network delay.
        ++next.position;
        const Model::Time sentAt = steadyNow();
        const StatusReply reply = watched->pollClient.awaitPosition(next, pollWait, pollTimeout);
        report(*watched, reply, false, ConnectionKind::Established, sentAt);
        if (!hasAnswer(reply))
            std::this_thread::sleep_for(pauseAfterFailure);
    }
}

void GroupMonitor::report(const WatchedMember& watched, const StatusReply& reply, bool hasRole,
    ConnectionKind connection, Model::Time sentAt)
{
    {
        const std::lock_guard lock(m_mutex);
        const Model::Time now = steadyNow();
        if (reply.status == ReplyStatus::Done) {
            Replication::Report result { reply.value.promisedTerm, reply.value.last, std::nullopt };
            const bool isPrimary = reply.value.role == Database::UpstreamRole::Primary;
            if (hasRole)
                result.role = isPrimary ? Replication::Role::Primary : Replication::Role::Replica;
            m_group.observeReport(watched.name, result, sentAt, now);
        } else if (!hasAnswer(reply)) {
            m_group.observeFailure(watched.name, connection, now);
        }
    }
    m_onReport();
}

void GroupMonitor::perform(const Replication::Action& action)
{
    const std::string& member
        = std::visit([](const auto& call) -> const std::string& { return call.member; }, action);
    const WatchedMemberPointer watched = find(member);
    if (!watched)
        return;
    // If the queue of the workers is full, the call is not made. The group treats this like a lost response.
    static_cast<void>(m_tasks.post([this, watched, action] {
        if (watched->isStopping)
            return;
        if (const auto* call = std::get_if<Replication::Probe>(&action))
            probe(watched, call->connection);
        else if (const auto* fenceCall = std::get_if<Replication::Fence>(&action))
            fence(watched, fenceCall->term);
        else if (const auto* promoteCall = std::get_if<Replication::Promote>(&action))
            promote(watched, *promoteCall);
        else if (const auto* followCall = std::get_if<Replication::Follow>(&action))
            follow(watched, *followCall);
    }));
}

void GroupMonitor::probe(const WatchedMemberPointer& watched, ConnectionKind connection)
{
    const Model::Time sentAt = steadyNow();
    if (connection == ConnectionKind::New) {
        Database::UpstreamClient client(watched->address);
        return report(*watched, client.open(callTimeout), true, connection, sentAt);
    }
    StatusReply reply;
    {
        const std::lock_guard lock(watched->callMutex);
        reply = watched->callClient.open(callTimeout);
    }
    report(*watched, reply, true, connection, sentAt);
}

void GroupMonitor::fence(const WatchedMemberPointer& watched, std::uint64_t term)
{
    const Model::Time sentAt = steadyNow();
    Database::UpstreamClient client(watched->address);
    const StatusReply reply = client.fence(term, callTimeout);
    {
        const std::lock_guard lock(m_mutex);
        const Model::Time now = steadyNow();
        if (hasAnswer(reply))
            m_group.fenceAnswered(watched->name, term,
                { reply.status == ReplyStatus::Done, reply.value.promisedTerm, reply.value.last }, sentAt,
                now);
        else
            m_group.fenceLost(watched->name, term, now);
    }
    m_onReport();
}

void GroupMonitor::promote(const WatchedMemberPointer& watched, const Replication::Promote& action)
{
    std::vector<Database::GroupMember> members;
    for (const std::string& name : action.members) {
        if (const WatchedMemberPointer member = find(name))
            members.push_back({ name, member->address });
    }
    const Model::Time sentAt = steadyNow();
    Database::UpstreamClient client(watched->address);
    const StatusReply reply = client.promote(action.term, members, callTimeout);
    {
        const std::lock_guard lock(m_mutex);
        const Replication::TermAnswer answer { reply.status == ReplyStatus::Done, reply.value.promisedTerm };
        if (hasAnswer(reply))
            m_group.promoteAnswered(watched->name, action.term, answer, sentAt, steadyNow());
        else
            m_group.promoteLost(watched->name, action.term);
    }
    m_onReport();
}

void GroupMonitor::follow(const WatchedMemberPointer& watched, const Replication::Follow& action)
{
    const WatchedMemberPointer primary = find(action.primary);
    if (!primary)
        return;
    const Model::Time sentAt = steadyNow();
    Database::UpstreamClient client(watched->address);
    const StatusReply reply = client.follow(action.term, primary->address, callTimeout);
    {
        const std::lock_guard lock(m_mutex);
        const Model::Time now = steadyNow();
        const Replication::TermAnswer answer { reply.status == ReplyStatus::Done, reply.value.promisedTerm };
        if (hasAnswer(reply))
            m_group.followAnswered(watched->name, action.term, answer, sentAt, now);
        else
            m_group.followLost(watched->name, now);
    }
    m_onReport();
}

}
