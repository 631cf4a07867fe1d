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

void PlatformWorker::acquireLease(const std::string& service,
    const std::optional<Failover::FenceChange>& fenceChange,
    std::function<void(const std::optional<AcquiredLease>&)> done)
{
    enqueue([this, service, fenceChange, done = std::move(done)] {
        const auto lease = acquireLeaseNow(service, fenceChange);
        m_loop.post([done, lease] { done(lease); });
    });
}

/// Each acquisition raises the token and is written only if the row has not changed, so that no two holders
/// get the same token.
std::optional<AcquiredLease> PlatformWorker::acquireLeaseNow(
    const std::string& service, const std::optional<Failover::FenceChange>& fenceChange)
{
    const StoreAnswer current = m_calls.read(Tables::promotionLeases, service);
    if (current.status != StoreStatus::Done) {
        logFailure("read the promotion lease", current);
        return std::nullopt;
    }
    StoreRow row { Tables::promotionLeases, service };
    Failover::PromotionLease currentLease;
    if (!current.rows.empty()) {
        row.version = current.rows.front().version;
        currentLease = parsePromotionLeaseRow(current.rows.front().value).lease;
    }
    auto lease = Failover::acquireLease(currentLease, row.version, m_host, current.storeTime);
    if (!lease) {
        Logging::write(Logging::EventId::DutyHeldElsewhere,
            { { "service", service }, { "holder", currentLease.holder } });
        return std::nullopt;
    }
    if (fenceChange)
        lease->fences = Failover::changeFences(currentLease.fences, row.version, *fenceChange);
    row.value = formatPromotionLeaseRow({ *lease, std::random_device {}() });
    const StoreAnswer written = m_calls.commit({ { row, row.version } });
    std::uint64_t version = written.version;
    if (written.status != StoreStatus::Done) {
        logFailure("acquire the promotion lease", written);
        if (written.status != StoreStatus::Unknown)
            return std::nullopt;
        // The answer was lost. If the write is executed later, it only raises the token of a host that has
        // abandoned the acquisition.
        const StoreAnswer reread = m_calls.read(Tables::promotionLeases, service);
        if (reread.status != StoreStatus::Done || reread.rows.empty()
            || reread.rows.front().value != row.value)
            return std::nullopt;
        version = reread.rows.front().version;
    }
    AcquiredLease acquired { lease->token, { service, version, lease->fences }, {}, current.storeTime };
    if (!fenceChange)
        return acquired;
    // Read after the fences were written: a host that registers later reads them before it uses a primary.
    const StoreAnswer hosts = m_calls.readAll(Tables::hosts);
    if (hosts.status != StoreStatus::Done) {
        logFailure("read the hosts", hosts);
        return std::nullopt;
    }
    for (const StoreRow& host : hosts.rows)
        acquired.hosts.push_back({ host.key, parseHostRow(host.value).registeredAt });
    return acquired;
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
        logFailure("read the fences", hosts);
        return std::nullopt;
    }
    FenceState state { {}, hosts.rows };
    for (const StoreRow& row : leases.rows)
        state.fences.push_back({ row.key, row.version, parsePromotionLeaseRow(row.value).lease.fences });
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
        const Model::Time startedAt = EventLoop::now();
        const auto version = registerNow(host);
        if (version && EventLoop::now() - startedAt < Failover::maxRegistrationTime) {
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
    if (written.status == StoreStatus::Done)
        return written.version;
    logFailure("write the host's row", written);
    return std::nullopt;
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
