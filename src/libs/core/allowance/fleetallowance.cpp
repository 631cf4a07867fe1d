#include "core/allowance/fleetallowance.h"

#include <algorithm>
#include <cmath>

namespace Allowance {

namespace {

    /// Several reports are missing then.
    constexpr Model::Duration silentAfter = std::chrono::milliseconds(800);
    /// A host that is silent for this long serves nobody, or is not seen again soon.
    constexpr Model::Duration goneAfter = std::chrono::seconds(10);
    constexpr Model::Duration demandPeriod = std::chrono::milliseconds(250);
    /// Weight of the newest period in the average of demand.
    constexpr double demandWeight = 0.3;
    /// Below this part of the burst, hosts keep to their parts of the rate.
    constexpr double lowMark = 0.5;
    /// Part of the rate that is divided evenly, so that demand can start anywhere.
    constexpr double evenPart = 0.15;
    /// Debt beyond this many seconds of the rate is forgiven: it stems from assumptions.
    constexpr double maxDebtSeconds = 2;

    double seconds(Model::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

FleetAllowance::FleetAllowance(std::string self)
    : m_self(std::move(self))
{
}

void FleetAllowance::setPeers(const std::vector<std::string>& hosts, Model::Time now)
{
    std::erase_if(m_peers, [&](const auto& peer) {
        return std::ranges::find(hosts, peer.first) == hosts.end();
    });
    for (const std::string& host : hosts) {
        if (host != m_self && !m_peers.contains(host))
            m_peers[host].knownSince = now;
    }
}

void FleetAllowance::setCustomers(const Directory::Configuration& configuration, Model::Time now)
{
    std::erase_if(m_buckets, [&](const auto& bucket) {
        return !configuration.customers.contains(bucket.first);
    });
    for (const auto& [name, customer] : configuration.customers)
        bucketOf(customer, now);
}

bool FleetAllowance::isGone(const Peer& peer, Model::Time now) const
{
    return now - peer.heardAt.value_or(peer.knownSince) > goneAfter;
}

bool FleetAllowance::isSilent(const Peer& peer, Model::Time now) const
{
    return !peer.heardAt || now - *peer.heardAt > silentAfter;
}

int FleetAllowance::liveHosts(Model::Time now) const
{
    return 1 + static_cast<int>(std::ranges::count_if(m_peers, [&](const auto& peer) {
        return !isGone(peer.second, now);
    }));
}

bool FleetAllowance::admit(const Directory::Customer& customer, Model::Time now)
{
    Bucket& bucket = bucketOf(customer, now);
    ++bucket.asked;
    const bool isLow = bucket.tokens < bucket.burst * lowMark;
    if (bucket.tokens < 1 || (isLow && bucket.ownTokens < 1))
        return false;
    bucket.tokens -= 1;
    bucket.ownTokens = std::max(0.0, bucket.ownTokens - 1);
    ++bucket.admitted;
    return true;
}

FleetAllowance::Bucket& FleetAllowance::bucketOf(const Directory::Customer& customer, Model::Time now)
{
    const auto [entry, isNew] = m_buckets.try_emplace(customer.name);
    Bucket& bucket = entry->second;
    if (isNew) {
        // What the others have left is not known before their reports.
        bucket.tokens = customer.burst / liveHosts(now);
        bucket.ownTokens = bucket.tokens;
        bucket.refilledAt = now;
        bucket.demandAt = now;
    }
    bucket.rate = customer.rate;
    bucket.burst = customer.burst;
    refill(customer.name, bucket, now);
    updateDemand(bucket, now);
    return bucket;
}

void FleetAllowance::refill(const std::string& customer, Bucket& bucket, Model::Time now)
{
    const double elapsed = seconds(now - bucket.refilledAt);
    if (elapsed <= 0)
        return;
    bucket.refilledAt = now;
    bucket.tokens += bucket.rate * elapsed;
    const double part = ownPart(customer, bucket, now);
    const double ownBurst = std::max(1.0, bucket.burst * lowMark * part);
    bucket.ownTokens = std::min(bucket.ownTokens + bucket.rate * part * elapsed, ownBurst);
    const int hosts = liveHosts(now);
    for (auto& [name, peer] : m_peers) {
        if (!isSilent(peer, now) || isGone(peer, now))
            continue;
        PeerUsage& usage = peer.usage[customer];
        const double rate = peer.heardAt ? std::min(usage.rate, bucket.rate) : bucket.rate / hosts;
        usage.assumed += rate * elapsed;
        bucket.tokens -= rate * elapsed;
    }
    bucket.tokens = std::clamp(bucket.tokens, -maxDebtSeconds * bucket.rate, bucket.burst);
}

void FleetAllowance::updateDemand(Bucket& bucket, Model::Time now) const
{
    const Model::Duration elapsed = now - bucket.demandAt;
    if (elapsed < demandPeriod)
        return;
    const double rate = static_cast<double>(bucket.asked - bucket.askedBefore) / seconds(elapsed);
    const double periods = seconds(elapsed) / seconds(demandPeriod);
    const double weight = 1 - std::pow(1 - demandWeight, periods);
    bucket.demand += weight * (rate - bucket.demand);
    bucket.askedBefore = bucket.asked;
    bucket.demandAt = now;
}

double FleetAllowance::ownPart(const std::string& customer, const Bucket& bucket, Model::Time now) const
{
    double total = bucket.demand;
    for (const auto& [name, peer] : m_peers) {
        const auto usage = peer.usage.find(customer);
        if (usage != peer.usage.end() && !isGone(peer, now))
            total += usage->second.demand;
    }
    const int hosts = liveHosts(now);
    if (total <= 0)
        return 1.0 / hosts;
    return evenPart / hosts + (1 - evenPart) * bucket.demand / total;
}

void FleetAllowance::receive(const UsageReport& report, Model::Time now)
{
    if (report.host == m_self)
        return;
    const auto [entry, isNewPeer] = m_peers.try_emplace(report.host);
    Peer& peer = entry->second;
    if (report.incarnation < peer.incarnation)
        return;
    const bool isFirst = !peer.heardAt;
    if (report.incarnation > peer.incarnation) {
        for (auto& [customer, usage] : peer.usage)
            usage.admitted = 0;
        peer.incarnation = report.incarnation;
    }
    const double elapsed = peer.heardAt ? seconds(now - *peer.heardAt) : 0;
    for (const Usage& reported : report.usage) {
        PeerUsage& usage = peer.usage[reported.customer];
        // Reports may arrive out of order; the counts only rise.
        if (reported.admitted < usage.admitted)
            continue;
        const double admitted = static_cast<double>(reported.admitted - usage.admitted);
        const auto bucket = m_buckets.find(reported.customer);
        if (bucket != m_buckets.end()) {
            refill(reported.customer, bucket->second, now);
            if (isFirst)
                bucket->second.tokens = std::min(bucket->second.tokens, reported.available);
            else
                bucket->second.tokens -= admitted - usage.assumed;
        }
        if (elapsed > 0)
            usage.rate = admitted / elapsed;
        usage.admitted = reported.admitted;
        usage.demand = reported.demand;
        usage.assumed = 0;
    }
    peer.heardAt = now;
}

std::vector<Usage> FleetAllowance::usage(Model::Time now)
{
    std::vector<Usage> result;
    for (auto& [name, bucket] : m_buckets) {
        refill(name, bucket, now);
        updateDemand(bucket, now);
        result.push_back({ name, bucket.admitted, bucket.demand, bucket.tokens });
    }
    return result;
}

}
