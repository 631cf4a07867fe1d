#include "daemon/grouprunner.h"

#include "daemon/clock.h"
#include "daemon/groupconfig.h"
#include "daemon/grouprunnerparts.h"
#include "logging/log.h"

#include <algorithm>

namespace Daemon {

using Model::ErrorCode;
using Model::Time;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds tickInterval(20);

}

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
        dropWithdrawn();
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
    // Upstreams of this host's availability zone come first, so that reads are assigned to them first.
    m_upstreams.sort([this](const UpstreamLink& left, const UpstreamLink& right) {
        return (left.zone() == m_context.zone) > (right.zone() == m_context.zone);
    });
}

void GroupRunner::dropWithdrawn()
{
    std::vector<std::uint64_t> withdrawn;
    for (const auto& [item, waiter] : m_waiters) {
        if (!isKeyActive(waiter->request->keyName, waiter->request->customer))
            withdrawn.push_back(item);
    }
    for (const std::uint64_t item : withdrawn)
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
    return m_activeRequests == 0 && m_transactions.size() == 0;
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
        logPrimarySuspicion();
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
        refuseUnservable(now);
        abortObsoleteCalls(now);
        for (UpstreamLink& upstream : m_upstreams) {
            expireTransactions(upstream, now);
            maintainConnections(upstream, now);
        }
        dispatch(now);
    }
    for (const Replication::Action& action : actions)
        m_monitor.perform(action);
}

}
