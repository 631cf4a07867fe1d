#include "proxyhost/platformworker.h"

#include "eventloop/loop.h"
#include "logging/log.h"
#include "proxyhost/rows.h"

#include <chrono>
#include <random>

namespace ProxyHost {

namespace {

    constexpr std::chrono::milliseconds registerPause { 300 };

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

void PlatformWorker::acquireLease(
    const std::string& service, std::function<void(std::optional<Failover::FencingToken>)> done)
{
    enqueue([this, service, done = std::move(done)] {
        const auto token = acquireLeaseNow(service);
        m_loop.post([done, token] { done(token); });
    });
}

/// Each taking raises the token by one under the condition that the row has not changed, so that no two
/// holders get the same one.
std::optional<Failover::FencingToken> PlatformWorker::acquireLeaseNow(const std::string& service)
{
    const StoreAnswer present = m_calls.read(Tables::promotionLeases, service);
    if (present.status != StoreStatus::Done) {
        logFailure("read the duty", present);
        return std::nullopt;
    }
    StoreRow row { Tables::promotionLeases, service };
    Failover::PromotionLease held;
    if (!present.rows.empty()) {
        row.version = present.rows.front().version;
        held = parsePromotionLeaseRow(present.rows.front().value).lease;
    }
    const auto lease = Failover::acquireLease(held, row.version, m_host, present.storeTime);
    if (!lease) {
        Logging::write(
            Logging::EventId::DutyHeldElsewhere, { { "service", service }, { "holder", held.holder } });
        return std::nullopt;
    }
    row.value = formatPromotionLeaseRow({ *lease, std::random_device {}() });
    const StoreAnswer written = m_calls.commit({ { row, row.version } });
    if (written.status == StoreStatus::Done)
        return lease->token;
    logFailure("take the duty", written);
    if (written.status != StoreStatus::Unknown)
        return std::nullopt;
    // The answer was lost. A write that is done later only raises the token of a holder that has given up.
    const StoreAnswer again = m_calls.read(Tables::promotionLeases, service);
    if (again.status == StoreStatus::Done && !again.rows.empty() && again.rows.front().value == row.value)
        return lease->token;
    return std::nullopt;
}

void PlatformWorker::promote(
    const PromotionRequest& request, std::function<void(Failover::PromotionRequestResult)> done)
{
    enqueue([this, request, done = std::move(done)] {
        const Failover::PromotionRequestResult result = m_calls.promote(request);
        m_loop.post([done, result] { done(result); });
    });
}

void PlatformWorker::registerHost(const std::string& value, std::function<void(std::uint64_t version)> done)
{
    enqueue([this, value, done = std::move(done)] {
        if (const auto version = registerNow(value)) {
            m_loop.post([done, version] { done(*version); });
            return;
        }
        std::this_thread::sleep_for(registerPause);
        registerHost(value, done);
    });
}

std::optional<std::uint64_t> PlatformWorker::registerNow(const std::string& value)
{
    const StoreAnswer present = m_calls.read(Tables::hosts, m_host);
    if (present.status != StoreStatus::Done) {
        logFailure("read the host's row", present);
        return std::nullopt;
    }
    StoreRow row { Tables::hosts, m_host, value };
    if (!present.rows.empty()) {
        row.version = present.rows.front().version;
        // An earlier try was carried out although its answer was lost.
        if (present.rows.front().value == value)
            return row.version;
    }
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
            logFailure("drop a host's row", answer);
    });
}

}
