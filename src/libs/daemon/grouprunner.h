#pragma once

#include "core/catalog/snapshot.h"
#include "core/replication/group.h"
#include "core/scheduling/fairqueue.h"
#include "daemon/groupmonitor.h"
#include "daemon/grouprequest.h"
#include "daemon/transactiontable.h"
#include "daemon/upstreamlink.h"
#include "daemon/workerpool.h"
#include "metrics/registry.h"

#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace Daemon {

struct GroupContext {
    std::string service;
    /// This host's availability zone, whose replicas are preferred for reads.
    std::string zone;
    /// Prefix of transaction ids; identifies this process.
    std::string transactionPrefix;
    WorkerPool* workers = nullptr;
    Metrics::Registry* metrics = nullptr;
};

/// Runs the statements of one group on the host that owns it. Owns the group's queue, connections, open
/// transactions and the view of its members. Any thread may call `run`, which blocks; a separate thread makes
/// the periodic decisions.
class GroupRunner {
public:
    GroupRunner(GroupContext context, Catalog::SnapshotPointer catalog);
    ~GroupRunner();
    GroupRunner(const GroupRunner&) = delete;
    GroupRunner& operator=(const GroupRunner&) = delete;

    /// Runs one request. Blocks until the outcome is known or the deadline of the request has passed.
    GroupAnswer run(const GroupRequest& request);
    /// Puts a newer catalogue in force: upstreams, weights, limits and withdrawn keys.
    void configure(Catalog::SnapshotPointer catalog);
    /// Refuses new and queued work with `not_owner`; running statements and open transactions continue.
    void release();
    /// Accepts new work again after `release`.
    void resume();
    /// No request is queued or running, and no transaction is open.
    bool isIdle() const;

    struct Status {
        std::string primary;
        std::uint64_t term = 0;
        std::size_t queued = 0;
        std::size_t transactions = 0;
    };
    Status status() const;

private:
    struct Waiter;
    struct Assignment;
    class RunningCall;
    using Lock = std::unique_lock<std::mutex>;

    GroupAnswer runStatement(const GroupRequest& request);
    GroupAnswer runBegin(const GroupRequest& request);
    GroupAnswer runInTransaction(const GroupRequest& request);
    /// Queues the request and waits for a connection, at the latest until the deadline of the request.
    Model::Result<Assignment> awaitAssignment(
        const GroupRequest& request, Scheduling::TransactionId transaction, Lock& lock);
    /// Sends the statement to the upstream. Releases the mutex during the call.
    Database::StatementReply callStatement(const GroupRequest& request, const Assignment& assignment,
        std::chrono::milliseconds timeout, Lock& lock);
    GroupAnswer finishStatement(const GroupRequest& request, const Assignment& assignment,
        const Database::StatementReply& reply, Model::Time sentAt, Lock& lock);
    /// Waits until a majority has the write, at the latest until the deadline of the request.
    GroupAnswer awaitConfirmation(const GroupRequest& request, const Assignment& assignment,
        const Database::StatementReply& reply, Model::Time sentAt, Lock& lock);
    GroupAnswer finishInTransaction(const GroupRequest& request, const OpenTransaction& transaction,
        const Assignment& assignment, const Database::StatementReply& reply, Model::Time sentAt, Lock& lock);
    /// Returns the connection to its pool, or closes it if it can no longer be used.
    void releaseConnection(const Assignment& assignment, Scheduling::Completion completion);
    /// Aborts the calls whose response cannot be used, because their term was superseded or their member
    /// failed.
    void abortObsoleteCalls(Model::Time now);
    /// Removes the transaction and closes its connection, so that the upstream rolls the transaction back.
    void endTransaction(const std::string& id);

    void tick();
    void logPrimarySuspicion();
    void runTicks();
    void onReport();
    /// Assigns free connections to the queued requests that can run now.
    void dispatch(Model::Time now);
    void assignFrom(UpstreamLink& upstream, Model::Time now);
    /// The term to send if the request can run on the upstream now, otherwise nothing. 0 for a statement in a
    /// transaction, which is sent in the term of its transaction.
    std::optional<std::uint64_t> runnableTerm(
        const Waiter& waiter, const UpstreamLink& upstream, Model::Time now) const;
    bool hasSessionPosition(const Waiter& waiter, const UpstreamLink& upstream) const;
    void updateLoads(Model::Time now);
    Replication::ReadRequest readRequest(const Waiter& waiter) const;
    void refuse(std::uint64_t item, Model::ErrorCode code);
    /// The error of a request that is still queued at its deadline.
    Model::ErrorCode timeoutCode(const Waiter& waiter) const;
    /// Refuses the queued requests that no upstream can serve, without waiting for their deadline.
    void refuseUnservable(Model::Time now);
    void maintainConnections(UpstreamLink& upstream, Model::Time now);
    void openConnection(
        const std::string& upstream, const std::string& address, Scheduling::ConnectionId connection);
    void pingConnection(const std::string& upstream, Scheduling::ConnectionId connection);
    void expireTransactions(UpstreamLink& upstream, Model::Time now);
    UpstreamLink* find(const std::string& upstream);
    void applyCatalog(Model::Time now);
    /// Refuses the queued requests of withdrawn keys and ends their transactions.
    void dropWithdrawn();
    bool isKeyActive(const std::string& keyName, const std::string& customer) const;
    void updateWriteCount();

    GroupContext m_context;
    mutable std::mutex m_mutex;
    /// Notified after each report of a member, for writes that await their confirmation.
    std::condition_variable m_reported;
    std::condition_variable m_tickDue;
    Catalog::SnapshotPointer m_catalog;
    Replication::Group m_group;
    Scheduling::FairQueue m_queue;
    std::list<UpstreamLink> m_upstreams;
    std::map<std::uint64_t, Waiter*> m_waiters;
    /// Load of each member, in the order of `m_group.members()`, as of the last `updateLoads`.
    std::vector<Replication::MemberLoad> m_loads;
    /// Statements with an outstanding response.
    std::list<const Assignment*> m_calls;
    TransactionTable m_transactions;
    std::mt19937_64 m_generator { std::random_device {}() };
    std::uint64_t m_nextItem = 1;
    std::size_t m_runningWrites = 0;
    std::size_t m_activeRequests = 0;
    bool m_isPrimarySuspected = false;
    bool m_isReleased = false;
    bool m_isStopping = false;
    GroupMonitor m_monitor;
    TaskScope m_tasks;
    std::thread m_thread;
};

}
