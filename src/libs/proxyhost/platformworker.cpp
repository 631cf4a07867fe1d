#include "proxyhost/platformworker.h"

#include "eventloop/loop.h"
#include "logging/log.h"
#include "proxyhost/rows.h"

#include <chrono>
#include <random>

namespace ProxyHost {

namespace {

    constexpr std::chrono::milliseconds registerRetryPause { 300 };

    void logFailure(const char* call, const StoreAnswer& answer)
    {
        Logging::write(Logging::EventId::StoreUnavailable, { { "call", call }, { "reason", answer.error } });
    }

}

PlatformWorker::PlatformWorker(EventLoop::Loop& loop, PlatformCalls calls, std::string host)
    : m_loop(loop)
    , m_calls(std::move(calls))
    , m_host(std::move(host))
    , m_thread([this] { run(); })
{
}

PlatformWorker::~PlatformWorker()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void PlatformWorker::enqueue(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_all();
}

void PlatformWorker::call(std::function<void(const PlatformCalls&)> task)
{
    enqueue([this, task = std::move(task)] { task(m_calls); });
}

void PlatformWorker::run()
{
    while (true) {
        std::function<void()> task;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
            if (m_isStopping)
                return;
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
    }
}

void PlatformWorker::acquireLease(const std::string& service, Failover::Fence fence, LeaseHook done)
{
    enqueue([this, service, fence, done = std::move(done)] {
        const auto lease = acquireLeaseNow(service, fence);
        m_loop.post([done, lease] { done(lease); });
    });
}

/// Each acquisition raises the token and is written only if the row has not changed, so that no two holders
/// get the same token.
std::optional<AcquiredLease> PlatformWorker::acquireLeaseNow(
    const std::string& service, Failover::Fence fence)
{
    const StoreAnswer current = m_calls.read(Tables::promotionLeases, service);
    if (current.status != StoreStatus::Done) {
        logFailure("read the promotion lease", current);
        return std::nullopt;
    }
    std::uint64_t version = 0;
    Failover::PromotionLease currentLease;
    if (!current.rows.empty()) {
        version = current.rows.front().version;
        currentLease = parsePromotionLeaseRow(current.rows.front().value).lease;
    }
    auto lease = Failover::acquireLease(currentLease, current.version, m_host, current.storeTime);
    if (!lease) {
        Logging::write(Logging::EventId::DutyHeldElsewhere,
            { { "service", service }, { "holder", currentLease.holder } });
        return std::nullopt;
    }
    if (fence == Failover::Fence::Set)
        lease->primary = std::string();
    const auto written = writeLease(service, *lease, version);
    // If the store was restored from an older copy since it was read, another host may get the same token.
    if (!written || written->epoch != current.epoch)
        return std::nullopt;
    AcquiredLease acquired { service, *lease, written->version, {}, current.storeTime };
    if (fence == Failover::Fence::None)
        return acquired;
    // Read after the fence was written: a host that registers later reads it before it uses a primary.
    const StoreAnswer hosts = m_calls.readAll(Tables::hosts);
    if (hosts.status != StoreStatus::Done) {
        logFailure("read the hosts", hosts);
        return std::nullopt;
    }
    for (const StoreRow& host : hosts.rows)
        acquired.hosts.push_back({ host.key, parseHostRow(host.value).registeredAt });
    return acquired;
}

/// Writes the row of a lease if it still has the expected version.
std::optional<PlatformWorker::WrittenRow> PlatformWorker::writeLease(
    const std::string& service, const Failover::PromotionLease& lease, std::uint64_t expectedVersion)
{
    StoreRow row { Tables::promotionLeases, service };
    row.value = formatPromotionLeaseRow({ lease, std::random_device {}() });
    const StoreAnswer written = m_calls.commit({ { row, expectedVersion } });
    if (written.status == StoreStatus::Done)
        return WrittenRow { written.version, written.epoch };
    logFailure("write the promotion lease", written);
    if (written.status != StoreStatus::Unknown)
        return std::nullopt;
    // The answer was lost. If the write is executed later, another host acquires the lease again.
    const StoreAnswer reread = m_calls.read(Tables::promotionLeases, service);
    if (reread.status == StoreStatus::Done && !reread.rows.empty() && reread.rows.front().value == row.value)
        return WrittenRow { reread.rows.front().version, reread.epoch };
    return std::nullopt;
}

void PlatformWorker::allowPrimary(const AcquiredLease& lease, const std::string& upstream,
    const Failover::TermHistory& promotions, LeaseHook done)
{
    AcquiredLease changed = lease;
    changed.lease.primary = upstream;
    changed.lease.promotions = promotions;
    changeLease(std::move(changed), std::move(done));
}

void PlatformWorker::recordPromotions(
    const AcquiredLease& lease, const Failover::TermHistory& promotions, LeaseHook done)
{
    AcquiredLease changed = lease;
    changed.lease.promotions = promotions;
    changeLease(std::move(changed), std::move(done));
}

/// Writes the lease if its row still has the version that the lease has.
void PlatformWorker::changeLease(AcquiredLease lease, LeaseHook done)
{
    enqueue([this, lease = std::move(lease), done = std::move(done)] {
        std::optional<AcquiredLease> changed = lease;
        if (const auto written = writeLease(lease.service, lease.lease, lease.version))
            changed->version = written->version;
        else
            changed.reset();
        m_loop.post([done, changed] { done(changed); });
    });
}

void PlatformWorker::restoreLease(
    const std::string& service, const Failover::PromotionLease& lease, std::uint64_t rowVersion)
{
    enqueue([this, service, lease, rowVersion] { writeLease(service, lease, rowVersion); });
}

void PlatformWorker::readFences(std::function<void(const std::optional<FenceState>&)> done)
{
    enqueue([this, done = std::move(done)] {
        const auto state = readFencesNow();
        m_loop.post([done, state] { done(state); });
    });
}

std::optional<FenceState> PlatformWorker::readFencesNow()
{
    const StoreAnswer leases = m_calls.readAll(Tables::promotionLeases);
    const StoreAnswer hosts = leases.status == StoreStatus::Done ? m_calls.readAll(Tables::hosts) : leases;
    if (hosts.status != StoreStatus::Done) {
        logFailure("read the allowed primaries", hosts);
        return std::nullopt;
    }
    FenceState state { {}, hosts.rows };
    for (const StoreRow& row : leases.rows) {
        const Failover::PromotionLease lease = parsePromotionLeaseRow(row.value).lease;
        state.primaries.push_back(
            { { row.key, leaseRevision(lease), lease.primary }, lease.promotions, row.version });
    }
    return state;
}

void PlatformWorker::promote(
    const PromotionRequest& request, std::function<void(Failover::PromotionRequestResult)> done)
{
    enqueue([this, request, done = std::move(done)] {
        const bool isTooLate = EventLoop::now() > request.sendBefore;
        const Failover::PromotionRequestResult result
            = isTooLate ? Failover::PromotionRequestResult::Unavailable : m_calls.promote(request);
        m_loop.post([done, result] { done(result); });
    });
}

void PlatformWorker::registerHost(const HostRow& host, std::function<void(std::uint64_t version)> done)
{
    enqueue([this, host, done = std::move(done)] {
        if (const auto version = registerNow(host)) {
            m_loop.post([done, version] { done(*version); });
            return;
        }
        std::this_thread::sleep_for(registerRetryPause);
        registerHost(host, done);
    });
}

std::optional<std::uint64_t> PlatformWorker::registerNow(HostRow host)
{
    const StoreAnswer current = m_calls.read(Tables::hosts, m_host);
    if (current.status != StoreStatus::Done) {
        logFailure("read the host's row", current);
        return std::nullopt;
    }
    host.registeredAt = current.storeTime;
    StoreRow row { Tables::hosts, m_host, formatHostRow(host) };
    if (!current.rows.empty())
        row.version = current.rows.front().version;
    const StoreAnswer written = m_calls.commit({ { row, row.version } });
    if (written.status != StoreStatus::Done) {
        logFailure("write the host's row", written);
        return std::nullopt;
    }
    // Only the time between the two calls counts, which the store's clock shows, not how long both take: at a
    // slow store no registration would succeed.
    const Failover::StoreTime elapsed = written.storeTime - current.storeTime;
    if (elapsed < Failover::StoreTime::zero() || elapsed >= Failover::maxRegistrationTime)
        return std::nullopt;
    return written.version;
}

void PlatformWorker::deleteHostRow(const std::string& host, std::uint64_t version)
{
    enqueue([this, host, version] {
        StoreRow row { Tables::hosts, host };
        row.isDeleted = true;
        const StoreAnswer answer = m_calls.commit({ { row, version } });
        if (answer.status != StoreStatus::Done)
            logFailure("delete a host's row", answer);
    });
}

}
