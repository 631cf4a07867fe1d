#include "core/failover/reachability.h"

namespace Failover {

namespace {

    /// Statements take a few ms, rare ones some hundred ms. Any response on any connection ends the wait,
    /// also that to a probe.
    constexpr Model::Duration responseTimeout = std::chrono::milliseconds(450);
    /// Leaves the upstream time to answer the probe within the response timeout, also if the caller checks
    /// for due probes only every 100 ms.
    constexpr Model::Duration probeDelay = std::chrono::milliseconds(200);
    /// A single failure may concern only one connection.
    constexpr int failureLimit = 2;
    /// Evidence has to expire: an upstream that seems unreachable gets no requests and cannot disprove it by
    /// a response.
    constexpr Model::Duration evidenceLifetime = std::chrono::milliseconds(1500);
    constexpr Model::Duration freshness = std::chrono::milliseconds(300);

}

void Reachability::requestSent(const std::string& upstream, Model::Time now)
{
    Record& record = m_records[upstream];
    // If the last request is older than the evidence lifetime, the unanswered requests say nothing about the
    // current state.
    if (!record.unansweredSince || now - *record.lastRequestAt > evidenceLifetime) {
        record.unansweredSince = now;
        record.isProbed = false;
    }
    record.lastRequestAt = now;
}

void Reachability::responseReceived(const std::string& upstream, Model::Time now)
{
    Record& record = m_records[upstream];
    record.respondedAt = now;
    record.unansweredSince.reset();
    record.failures = 0;
}

void Reachability::failed(const std::string& upstream, Model::Time now)
{
    Record& record = m_records[upstream];
    if (record.failedAt && now - *record.failedAt > evidenceLifetime)
        record.failures = 0;
    record.failedAt = now;
    ++record.failures;
}

bool Reachability::takeProbe(const std::string& upstream, Model::Time now)
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end())
        return false;
    Record& record = found->second;
    if (!record.unansweredSince || record.isProbed || now - *record.unansweredSince < probeDelay)
        return false;
    record.isProbed = true;
    return true;
}

void Reachability::processPaused(Model::Time now)
{
    for (auto& [upstream, record] : m_records) {
        if (record.unansweredSince)
            record.unansweredSince = record.lastRequestAt = now;
        record.isProbed = false;
        record.failures = 0;
    }
}

void Reachability::reset(const std::string& upstream) { m_records.erase(upstream); }

ReachabilityState Reachability::state(const std::string& upstream, Model::Time now) const
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end())
        return ReachabilityState::Unknown;
    const Record& record = found->second;
    const bool isUnresponsive = record.unansweredSince && now - *record.unansweredSince > responseTimeout
        && now - *record.lastRequestAt < evidenceLifetime;
    const bool isFailing = record.failures >= failureLimit && now - *record.failedAt < evidenceLifetime;
    if (isUnresponsive || isFailing)
        return ReachabilityState::Unreachable;
    if (record.respondedAt && now - *record.respondedAt < freshness)
        return ReachabilityState::Reachable;
    return ReachabilityState::Unknown;
}

}
