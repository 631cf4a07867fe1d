#include "usagesimulation.h"

#include "proxyhost/rows.h"

#include <algorithm>
#include <cmath>

#include <gtest/gtest.h>

using namespace ProxyHost;
using namespace std::chrono_literals;

namespace {

constexpr Model::Duration stepLength = 50ms;
constexpr Model::Duration windowLength = 5s;
constexpr Model::Duration dueTime = 10s;
/// Wall-clock time minus monotonic time.
constexpr Model::Duration wallOffset = 1767000002s;
/// After this time without a message, a host counts as not reporting.
constexpr Model::Duration reportTimeout = 2s;

}

UsageSimulation::UsageSimulation(int hosts, unsigned seed)
    : m_random(seed)
    , m_hosts(static_cast<std::size_t>(hosts))
{
    for (int i = 0; i < hosts; ++i) {
        m_hosts[i].name = "host-" + std::to_string(i);
        start(i);
    }
}

void UsageSimulation::start(int index)
{
    Host& host = m_hosts.at(index);
    host.events.clear();
    host.isFrozen = false;
    UsageReports::Hooks hooks;
    hooks.registeredHosts = [this, &host] { return others(host); };
    hooks.reportingHosts = [this, &host](Model::Time) { return reporting(host); };
    hooks.send = [this, &host](const std::string& receiver, const UsageMessage& message) {
        send(host, receiver, message);
    };
    hooks.newestEpoch = [&host] { return host.epochSeen; };
    hooks.acquire = [this, &host](const Usage::Proposal& proposal) {
        const AcquiredWindow acquired = acquireWindow(calls(host), host.name, proposal, m_now);
        const auto done = [this, &host, window = proposal.window, acquired] {
            host.reports->acquired(window, acquired, m_now);
        };
        deliver(host, done, randomDuration(0, 150));
    };
    hooks.report = [this, &host](const UsageReport& usage) {
        const UsageReportResult result = sendReport(calls(host), usage, m_now);
        deliver(
            host, [this, &host, usage, result] { host.reports->answered(usage, result, m_now); },
            randomDuration(0, 100));
    };
    const UsageReports::Settings settings { host.name, windowLength, dueTime };
    host.incarnation = ++m_lastIncarnation;
    host.epochSeen = 0;
    host.heardAt = m_now;
    host.reports = std::make_unique<UsageReports>(settings, m_metrics, std::move(hooks));
    host.reports->update(wall() + host.clockError, m_now);
    host.reports->start(host.incarnation, m_now);
}

void UsageSimulation::kill(int host)
{
    m_hosts.at(host).reports.reset();
    m_hosts.at(host).events.clear();
}

void UsageSimulation::restore()
{
    m_rows = m_savedRows;
    m_version = m_savedVersion;
    ++m_epoch;
}

int UsageSimulation::holder() const
{
    const std::string name = parsePromotionLeaseRow(m_rows.at("duty").value).lease.holder;
    const auto host = std::ranges::find(m_hosts, name, &Host::name);
    return static_cast<int>(host - m_hosts.begin());
}

Usage::WallTime UsageSimulation::wall() const { return m_now.time_since_epoch() + wallOffset; }

Usage::Window UsageSimulation::windowNow() const { return static_cast<Usage::Window>(wall() / windowLength); }

bool UsageSimulation::happens(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Model::Duration UsageSimulation::randomDuration(int minMs, int maxMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(minMs, maxMs)(m_random));
}

std::vector<std::string> UsageSimulation::others(const Host& host) const
{
    std::vector<std::string> names;
    for (const Host& other : m_hosts) {
        if (&other != &host)
            names.push_back(other.name);
    }
    return names;
}

/// Frozen and killed hosts are noticed after a while, as by their missing reports.
std::vector<std::string> UsageSimulation::reporting(const Host& host) const
{
    std::vector<std::string> names { host.name };
    for (const Host& other : m_hosts) {
        const bool isHeard = !host.isPartitioned && !other.isPartitioned;
        if (&other != &host && isHeard && m_now - other.heardAt < reportTimeout)
            names.push_back(other.name);
    }
    return names;
}

void UsageSimulation::deliver(Host& host, std::function<void()> task, Model::Duration delay)
{
    host.events.emplace(m_now + delay, std::move(task));
}

void UsageSimulation::send(const Host& sender, const std::string& receiver, const UsageMessage& message)
{
    if (losesProgress && !message.progress.empty())
        return;
    const UsageMessage sent = *parseUsageMessage(formatUsageMessage(message));
    for (Host& host : m_hosts) {
        const bool isReached = host.reports && !host.isPartitioned && !sender.isPartitioned;
        if (&host == &sender || !isReached || (!receiver.empty() && host.name != receiver))
            continue;
        const int copies = (happens(lostMessages) ? 0 : 1) + (happens(repeatedMessages) ? 1 : 0);
        for (int i = 0; i < copies; ++i)
            deliver(
                host, [this, &host, sent] { host.reports->receive(sent, m_now); }, randomDuration(0, 200));
    }
}

StoreAnswer UsageSimulation::answer(Host& host)
{
    StoreAnswer result;
    result.status = StoreStatus::Done;
    result.epoch = m_epoch;
    result.version = (m_epoch << 40U) + m_version;
    result.storeTime = std::chrono::duration_cast<Failover::StoreTime>(m_now.time_since_epoch());
    host.epochSeen = std::max(host.epochSeen, m_epoch);
    return result;
}

PlatformCalls UsageSimulation::calls(Host& host)
{
    const auto counted = [this, &host] {
        ++storeCalls;
        ++storeCallsByHost[host.name];
        return !m_isStoreDown;
    };
    PlatformCalls result;
    result.readAll = [this, &host, counted](const std::string&) {
        if (!counted())
            return StoreAnswer {};
        StoreAnswer read = answer(host);
        for (const auto& [key, row] : m_rows)
            read.rows.push_back(row);
        return read;
    };
    result.read = [this, &host, counted](const std::string&, const std::string& key) {
        if (!counted())
            return StoreAnswer {};
        StoreAnswer read = answer(host);
        if (m_rows.contains(key))
            read.rows.push_back(m_rows.at(key));
        return read;
    };
    result.commit = [this, &host, counted](const std::vector<StoreWrite>& writes) {
        if (!counted())
            return StoreAnswer {};
        StoreAnswer written = answer(host);
        if (!happens(lostAnswers)) {
            written.status = commit(writes).status;
            return written;
        }
        if (happens(0.5))
            m_late.emplace(m_now + randomDuration(1000, 3000), [this, writes] { commit(writes); });
        else
            commit(writes);
        written.status = StoreStatus::Unknown;
        return written;
    };
    result.reportUsage = [this](const UsageReport& usage) {
        if (!happens(lostAnswers))
            return report(usage);
        if (happens(0.5))
            m_late.emplace(m_now + randomDuration(1000, 3000), [this, usage] { report(usage); });
        else
            report(usage);
        return UsageReportResult::Unknown;
    };
    return result;
}

/// The conditions use the versions of the store's own count, which goes back when it is restored.
StoreAnswer UsageSimulation::commit(const std::vector<StoreWrite>& writes)
{
    StoreAnswer result;
    result.status = StoreStatus::Refused;
    for (const StoreWrite& write : writes) {
        const auto row = m_rows.find(write.row.key);
        if ((row == m_rows.end() ? 0 : row->second.version) != write.expectedVersion)
            return result;
    }
    ++m_version;
    for (const StoreWrite& write : writes) {
        m_rows[write.row.key] = write.row;
        m_rows[write.row.key].version = m_version;
        if (write.row.isDeleted)
            m_rows.erase(write.row.key);
    }
    result.status = StoreStatus::Done;
    return result;
}

UsageReportResult UsageSimulation::report(const UsageReport& usage)
{
    const bool isAccepted = usage.token >= m_highestToken;
    m_highestToken = std::max(m_highestToken, usage.token);
    m_calls.push_back({ m_now, usage.holder, usage.token, usage.window, usage.counts, isAccepted });
    return isAccepted ? UsageReportResult::Accepted : UsageReportResult::Refused;
}

void UsageSimulation::step()
{
    m_now += stepLength;
    while (!m_late.empty() && m_late.begin()->first <= m_now) {
        const auto task = m_late.extract(m_late.begin());
        task.mapped()();
    }
    for (Host& host : m_hosts) {
        if (!host.reports || host.isFrozen)
            continue;
        while (!host.events.empty() && host.events.begin()->first <= m_now) {
            const auto event = host.events.extract(host.events.begin());
            event.mapped()();
        }
        host.heardAt = m_now;
        if (!m_isStoreDown)
            host.epochSeen = m_epoch;
        for (Host& other : m_hosts) {
            if (&other != &host && other.reports && !other.isPartitioned && !host.isPartitioned)
                host.reports->wallClockReported(other.name, wall() + other.clockError - 20ms, m_now);
        }
        const int statements = static_cast<int>(rate * stepLength / 1s);
        for (int i = 0; i < statements; ++i) {
            for (const std::string customer : { "acme", "beta" }) {
                host.reports->operationRan(customer, m_now);
                ++m_trueCounts[windowNow()][customer];
            }
        }
        host.reports->update(wall() + host.clockError, m_now);
    }
}

void UsageSimulation::run(Model::Duration duration)
{
    for (const Model::Time end = m_now + duration; m_now < end;)
        step();
}

void UsageSimulation::runToWindowEnd(Model::Duration after)
{
    const Usage::Window window = windowNow();
    while (windowNow() == window)
        step();
    run(after);
}

void UsageSimulation::checkRules() const
{
    std::map<Usage::Window, Usage::Counts> accepted;
    std::map<std::uint64_t, std::string> holders;
    std::vector<Call> turns;
    for (const Call& call : m_calls) {
        EXPECT_EQ(holders.try_emplace(call.token, call.host).first->second, call.host) << "shared token";
        if (!call.isAccepted)
            continue;
        EXPECT_EQ(accepted.try_emplace(call.window, call.counts).first->second, call.counts)
            << "two reports of window " << call.window;
        if (!turns.empty() && turns.back().host == call.host) {
            turns.back().at = call.at;
            continue;
        }
        if (turns.size() >= 2 && turns[turns.size() - 2].host == call.host) {
            EXPECT_GT(call.at - turns[turns.size() - 2].at, Model::Duration(3s)) << "hosts acted in turn";
        }
        turns.push_back(call);
    }
}

std::vector<Usage::Window> UsageSimulation::wrongWindows(Usage::Window first) const
{
    const auto endOf = [](Usage::Window window) {
        return Model::Time(windowLength * static_cast<std::int64_t>(window + 1) - wallOffset);
    };
    std::vector<Usage::Window> wrong;
    for (const auto& entry : m_trueCounts) {
        const Usage::Window window = entry.first;
        const Usage::Counts& counts = entry.second;
        if (window < first || m_now < endOf(window) + dueTime)
            continue;
        const auto isRight = [&](const Call& call) {
            if (!call.isAccepted || call.window != window || call.at > endOf(window) + dueTime)
                return false;
            return std::ranges::all_of(counts, [&](const auto& expectedCount) {
                const auto found = call.counts.find(expectedCount.first);
                const double reported = found == call.counts.end() ? 0 : static_cast<double>(found->second);
                const auto expected = static_cast<double>(expectedCount.second);
                return std::abs(reported - expected) <= 0.05 * expected;
            });
        };
        if (std::ranges::none_of(m_calls, isRight))
            wrong.push_back(window);
    }
    return wrong;
}
