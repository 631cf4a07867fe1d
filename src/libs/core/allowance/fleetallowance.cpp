#include "core/allowance/fleetallowance.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Allowance {

namespace {

    /// Report periods without a report after which one is overdue, and after which the host counts as not
    /// reporting.
    constexpr double overduePeriods = 1.5;
    constexpr int missedReportLimit = 4;
    /// A host without a report for this long no longer counts as live.
    constexpr Model::Duration presumedDeadAfter = std::chrono::seconds(10);
    /// The share of a host that does not report is reserved for longer: it may be partitioned from this one
    /// and still serve callers.
    constexpr Model::Duration shareReservedFor = std::chrono::seconds(40);
    /// While reports of other hosts are missing, operations are expected to be admitted soon for at most this
    /// long after the hosts became known. In a fleet of more than 250 hosts, some first reports arrive later.
    constexpr Model::Duration settlingTime = std::chrono::seconds(1);
    /// Longer waits for an admission are not told apart.
    constexpr double maxWaitSeconds = 60;
    constexpr Model::Duration demandAveragingPeriod = std::chrono::milliseconds(250);
    /// Weight of the newest period in the moving averages of requested and admitted operations.
    constexpr double newestDemandWeight = 0.3;
    /// Weight of the newest report in the moving average of the operations that another host admits.
    constexpr double newestReportWeight = 0.5;
    /// Below this fraction of the burst, hosts stay within their shares of the rate.
    constexpr double lowWatermark = 0.25;
    /// Operations that a host may start at once from its own share, however small the share is.
    constexpr double minOwnBurst = 1;
    /// Between two reports, a host uses at most this many times its share of the tokens above the low
    /// watermark, since all others may use the same tokens before they receive its report.
    constexpr double surplusFactor = 4;
    /// While the fleet admits more than this fraction of the rate, hosts stay within their shares. Admitted
    /// operations are compared, not requested ones, since refused callers retry.
    constexpr double saturationFraction = 0.9;
    /// Surplus tokens that a host has at least, unless the rate is saturated.
    constexpr double minSurplus = 3;
    /// Fraction of the rate that is divided evenly, so that a host without recent demand can admit
    /// operations.
    constexpr double evenlyDividedFraction = 0.15;
    /// A deficit beyond this many seconds of the rate is written off: its operations precede the windows over
    /// which the limit applies.
    constexpr double maxDeficitSeconds = 5;
    /// Operations beyond the limit that are tolerated: a fraction of those that the limit permits in
    /// `overrunWindow`, and a fixed number.
    constexpr double toleratedFraction = 0.1;
    constexpr double toleratedOperations = 20;
    constexpr Model::Duration overrunWindow = std::chrono::seconds(5);
    /// A host counts as started recently for this long.
    constexpr Model::Duration recentStart = std::chrono::seconds(10);
    /// How often a balance is sent to the other hosts, and after which time it is outdated.
    constexpr Model::Duration balancePeriod = std::chrono::milliseconds(400);
    constexpr Model::Duration balanceLifetime = std::chrono::seconds(1);
    /// A host that reaches hosts with less than this share of the rate sends no balances: it does not know
    /// the use of most hosts and would make those that it reaches refuse operations.
    constexpr double minCountingShare = 0.5;

    double seconds(Model::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

FleetAllowance::FleetAllowance(std::string self)
    : m_self(std::move(self))
{
}

void FleetAllowance::setPeers(const std::vector<std::string>& hosts, Model::Time now)
{
    std::erase_if(
        m_peers, [&](const auto& peer) { return std::ranges::find(hosts, peer.first) == hosts.end(); });
    for (const std::string& host : hosts) {
        if (host != m_self && !m_peers.contains(host))
            m_peers[host].knownSince = now;
    }
    if (m_arePeersKnown)
        return;
    m_arePeersKnown = true;
    m_peersKnownSince = now;
    for (auto& [customer, bucket] : m_buckets)
        fillInitially(bucket, now);
}

/// Gives the bucket this host's part of the burst: how much of it the other hosts have used is unknown before
/// their first reports.
void FleetAllowance::fillInitially(Bucket& bucket, Model::Time now) const
{
    bucket.tokens = bucket.burst / liveHosts(now);
    bucket.ownTokens = bucket.tokens;
    bucket.refilledAt = now;
    bucket.sharesUpdatedAt.reset();
}

void FleetAllowance::setCustomers(const Directory::Configuration& configuration, Model::Time now)
{
    std::erase_if(
        m_buckets, [&](const auto& bucket) { return !configuration.customers.contains(bucket.first); });
    for (const auto& [name, customer] : configuration.customers)
        bucketOf(customer, now);
}

bool FleetAllowance::isPresumedDead(const Peer& peer, Model::Time now) const
{
    return now - peer.lastReportAt.value_or(peer.knownSince) > presumedDeadAfter;
}

bool FleetAllowance::isShareReserved(const Peer& peer, Model::Time now) const
{
    return now - peer.lastReportAt.value_or(peer.knownSince) <= shareReservedFor;
}

bool FleetAllowance::isNotReporting(const Peer& peer, Model::Time now) const
{
    return !peer.lastReportAt || now - *peer.lastReportAt > m_reportPeriod * missedReportLimit;
}

int FleetAllowance::liveHosts(Model::Time now) const
{
    return 1 + static_cast<int>(std::ranges::count_if(m_peers, [&](const auto& peer) {
        return !isPresumedDead(peer.second, now);
    }));
}

bool FleetAllowance::admit(const Directory::Customer& customer, Model::Time now)
{
    demanded(customer, now);
    return admitAgain(customer, now);
}

bool FleetAllowance::admitAgain(const Directory::Customer& customer, Model::Time now)
{
    Bucket& bucket = bucketOf(customer, now);
    if (!m_arePeersKnown)
        return false;
    const bool isBelowWatermark = bucket.tokens < bucket.burst * lowWatermark;
    const double usable = bucket.ownTokens + (isBelowWatermark ? 0 : bucket.surplusTokens);
    if (bucket.tokens < 1 || usable < 1)
        return false;
    const double fromSurplus = std::max(0.0, 1 - bucket.ownTokens);
    bucket.ownTokens -= 1 - fromSurplus;
    bucket.surplusTokens -= fromSurplus;
    bucket.tokens -= 1;
    ++bucket.admitted;
    return true;
}

void FleetAllowance::demanded(const Directory::Customer& customer, Model::Time now)
{
    ++bucketOf(customer, now).requested;
}

std::optional<Model::Duration> FleetAllowance::admissionWait(
    const Directory::Customer& customer, std::size_t ahead, Model::Time now)
{
    if (isSettling(now))
        return Model::Duration {};
    const Bucket& bucket = bucketOf(customer, now);
    const double ownRate = bucket.rate * bucket.ownShare;
    if (ownRate <= 0)
        return std::nullopt;
    double wait = std::max(0.0, (static_cast<double>(ahead) + 1 - bucket.ownTokens) / ownRate);
    if (bucket.tokens < 1) {
        const double refillRate = bucket.rate - bucket.estimatedRate;
        if (refillRate <= 0)
            return std::nullopt;
        wait = std::max(wait, (static_cast<double>(ahead) + 1 - bucket.tokens) / refillRate);
    }
    return std::chrono::duration_cast<Model::Duration>(
        std::chrono::duration<double>(std::min(wait, maxWaitSeconds)));
}

bool FleetAllowance::isSettling(Model::Time now) const
{
    if (!m_arePeersKnown)
        return true;
    return now - m_peersKnownSince < settlingTime
        && std::ranges::any_of(m_peers, [](const auto& peer) { return !peer.second.lastReportAt; });
}

std::string FleetAllowance::describe(const std::string& customer) const
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end())
        return {};
    const Bucket& bucket = found->second;
    std::ostringstream text;
    text << std::setprecision(4) << "rate=" << bucket.rate << " burst=" << bucket.burst
         << " available=" << bucket.tokens << " own=" << bucket.ownTokens << " free=" << bucket.surplusTokens
         << " part=" << bucket.ownShare << " reachable=" << bucket.reachableShare;
    return text.str();
}

FleetAllowance::Bucket& FleetAllowance::bucketOf(const Directory::Customer& customer, Model::Time now)
{
    const auto [entry, isNew] = m_buckets.try_emplace(customer.name);
    Bucket& bucket = entry->second;
    bucket.rate = customer.rate;
    bucket.burst = customer.burst;
    if (isNew) {
        fillInitially(bucket, now);
        bucket.demandAt = now;
    }
    refill(customer.name, bucket, now);
    updateDemand(bucket, now);
    return bucket;
}

void FleetAllowance::refill(const std::string& customer, Bucket& bucket, Model::Time now)
{
    const double elapsed = seconds(now - bucket.refilledAt);
    if (elapsed > 0) {
        bucket.refilledAt = now;
        const double ownBurst = std::max(minOwnBurst, bucket.burst * lowWatermark * bucket.ownShare);
        bucket.ownTokens = std::min(bucket.ownTokens + bucket.rate * bucket.ownShare * elapsed, ownBurst);
        bucket.tokens += (bucket.rate - bucket.estimatedRate) * elapsed;
    }
    // Iterating over all hosts for each operation would take most of the processor time in a large fleet.
    if (!bucket.sharesUpdatedAt || now - *bucket.sharesUpdatedAt >= m_reportPeriod)
        updateShares(customer, bucket, now);
    // Each side of a network partition uses only its share of the burst, so that all sides together use at
    // most one burst.
    const double reachableBurst = bucket.burst * bucket.reachableShare;
    bucket.tokens = std::clamp(bucket.tokens, -maxDeficitSeconds * bucket.rate, reachableBurst);
}

void FleetAllowance::updateDemand(Bucket& bucket, Model::Time now) const
{
    const Model::Duration elapsed = now - bucket.demandAt;
    if (elapsed < demandAveragingPeriod)
        return;
    const double periods = seconds(elapsed) / seconds(demandAveragingPeriod);
    const double weight = 1 - std::pow(1 - newestDemandWeight, periods);
    const auto average = [&](double& value, std::uint64_t count, std::uint64_t& before) {
        value += weight * (static_cast<double>(count - before) / seconds(elapsed) - value);
        before = count;
    };
    average(bucket.demand, bucket.requested, bucket.requestedBefore);
    average(bucket.admittedRate, bucket.admitted, bucket.admittedBefore);
    bucket.demandAt = now;
}

/// Divides the rate by demand among the hosts that report, less the shares of those that do not. The share of
/// a host that does not report stays as of its last report, so that both sides of a network partition compute
/// the same division.
void FleetAllowance::updateShares(const std::string& customer, Bucket& bucket, Model::Time now)
{
    double reachableDemand = bucket.demand;
    double sharingDemand = bucket.demand;
    double admittedRate = bucket.admittedRate;
    int reachableHosts = 1;
    int sharingHosts = 1;
    bucket.reachableShare = 1;
    bucket.estimatedRate = 0;
    for (auto& [name, peer] : m_peers) {
        const auto found = peer.usage.find(customer);
        PeerUsage* usage = found == peer.usage.end() ? nullptr : &found->second;
        if (!isShareReserved(peer, now)) {
            if (usage)
                setEstimatedRate(*usage, 0, now);
            continue;
        }
        ++sharingHosts;
        sharingDemand += usage ? usage->demand : 0;
        if (isNotReporting(peer, now)) {
            const double evenShare = 1.0 / static_cast<double>(m_peers.size() + 1);
            usage = &peer.usage[customer];
            const double share = usage->lastIncludedAt ? usage->share : evenShare;
            bucket.reachableShare -= share;
            setEstimatedRate(*usage, bucket.rate * share, now);
            bucket.estimatedRate += usage->estimatedRate;
            continue;
        }
        ++reachableHosts;
        if (!usage)
            continue;
        reachableDemand += usage->demand;
        admittedRate += usage->admittedRate;
        // Reports include only customers whose count has changed; of the others, the host has admitted
        // nothing.
        const bool isNewReport = !usage->refundedAt || *usage->refundedAt < *peer.lastReportAt;
        const bool isDue = !usage->refundedAt || now - *usage->refundedAt >= m_reportPeriod;
        if (usage->lastIncludedAt && *usage->lastIncludedAt < *peer.lastReportAt && isNewReport && isDue)
            refundUnused(bucket, *usage, now);
        setEstimatedRate(*usage, std::min(usage->admittedRate, bucket.rate * usage->share), now);
        bucket.estimatedRate += usage->estimatedRate;
    }
    bucket.reachableShare = std::max(0.0, bucket.reachableShare);
    bucket.ownShare = bucket.reachableShare * shareOf(bucket.demand, reachableDemand, reachableHosts);
    for (auto& [name, peer] : m_peers) {
        const auto usage = peer.usage.find(customer);
        if (usage != peer.usage.end() && !isReportOverdue(peer, now))
            usage->second.share = shareOf(usage->second.demand, sharingDemand, sharingHosts);
    }
    const double surplus = std::max(0.0, bucket.tokens - bucket.burst * lowWatermark);
    const bool isRateSaturated = admittedRate > saturationFraction * bucket.rate;
    bucket.surplusTokens = isRateSaturated
        ? 0
        : std::max(minSurplus, surplus * std::min(1.0, surplusFactor * bucket.ownShare));
    bucket.sharesUpdatedAt = now;
}

/// Returns the tokens to the bucket that were charged by estimate to a host that has admitted nothing.
void FleetAllowance::refundUnused(Bucket& bucket, PeerUsage& usage, Model::Time now)
{
    setEstimatedRate(usage, usage.estimatedRate, now);
    bucket.tokens += usage.estimatedOperations;
    usage.estimatedOperations = 0;
    usage.admittedRate *= 1 - newestReportWeight;
    usage.refundedAt = now;
}

/// Sets the operations per second that the host is estimated to admit from `now` on.
void FleetAllowance::setEstimatedRate(PeerUsage& usage, double rate, Model::Time now)
{
    usage.estimatedOperations += usage.estimatedRate * seconds(now - usage.estimatedSince);
    usage.estimatedSince = now;
    usage.estimatedRate = rate;
}

/// The share of a host with `demand` out of `total`, of which a fixed fraction is divided evenly among
/// `hosts`.
double FleetAllowance::shareOf(double demand, double total, int hosts)
{
    return total <= 0 ? 1.0 / hosts
                      : evenlyDividedFraction / hosts + (1 - evenlyDividedFraction) * demand / total;
}

/// Returns the host with this incarnation, or null if a newer one is known.
FleetAllowance::Peer* FleetAllowance::findPeer(
    const std::string& host, std::uint64_t incarnation, Model::Time now)
{
    Peer& peer = m_peers[host];
    if (incarnation < peer.incarnation)
        return nullptr;
    if (incarnation > peer.incarnation) {
        for (auto& [customer, usage] : peer.usage) {
            usage.admitted = 0;
            usage.reported = 0;
        }
        peer.incarnation = incarnation;
        peer.startedAt = now;
    }
    return &peer;
}

void FleetAllowance::receive(const UsageReport& report, Model::Time now)
{
    if (report.host == m_self)
        return;
    Peer* peer = findPeer(report.host, report.incarnation, now);
    if (!peer)
        return;
    for (const Usage& reported : report.usage) {
        PeerUsage& usage = peer->usage[reported.customer];
        // Reports may arrive out of order; the counts only increase.
        if (reported.admitted < usage.reported)
            continue;
        const std::uint64_t known = std::max(usage.admitted, reported.admitted);
        const auto bucket = m_buckets.find(reported.customer);
        if (bucket != m_buckets.end()) {
            refill(reported.customer, bucket->second, now);
            if (!usage.lastIncludedAt) {
                bucket->second.tokens = std::min(bucket->second.tokens, reported.available);
            } else {
                const double rate = static_cast<double>(reported.admitted - usage.reported)
                    / std::max(seconds(m_reportPeriod), seconds(now - *usage.lastIncludedAt));
                usage.admittedRate += newestReportWeight * (rate - usage.admittedRate);
            }
            const double before = usage.estimatedRate;
            setEstimatedRate(usage, std::min(usage.admittedRate, bucket->second.rate * usage.share), now);
            bucket->second.estimatedRate += usage.estimatedRate - before;
            if (usage.lastIncludedAt)
                bucket->second.tokens
                    -= static_cast<double>(known - usage.admitted) - usage.estimatedOperations;
        }
        usage.admitted = known;
        usage.reported = reported.admitted;
        usage.demand = reported.demand;
        usage.estimatedOperations = 0;
        usage.lastIncludedAt = now;
    }
    peer->lastReportAt = now;
}

std::vector<Count> FleetAllowance::takeCounts()
{
    std::vector<Count> result;
    for (auto& [name, bucket] : m_buckets) {
        if (bucket.admitted == bucket.counted)
            continue;
        result.push_back({ name, bucket.admitted, bucket.admitted - bucket.counted });
        bucket.counted = bucket.admitted;
    }
    return result;
}

void FleetAllowance::receiveCounts(
    const std::string& host, std::uint64_t incarnation, const std::vector<Count>& counts, Model::Time now)
{
    Peer* peer = host == m_self ? nullptr : findPeer(host, incarnation, now);
    if (!peer)
        return;
    for (const Count& count : counts) {
        PeerUsage& usage = peer->usage[count.customer];
        const auto bucket = m_buckets.find(count.customer);
        if (bucket == m_buckets.end() || count.admitted <= usage.admitted)
            continue;
        refill(count.customer, bucket->second, now);
        setEstimatedRate(usage, usage.estimatedRate, now);
        // Without an earlier count it is unknown which of the operations precede the windows over which the
        // limit applies.
        const std::uint64_t admitted = usage.lastIncludedAt ? count.admitted - usage.admitted : count.recent;
        const double charged = std::min(usage.estimatedOperations, static_cast<double>(admitted));
        bucket->second.tokens -= static_cast<double>(admitted) - charged;
        usage.estimatedOperations -= charged;
        usage.admitted = count.admitted;
    }
}

std::vector<Balance> FleetAllowance::takeBalances(
    const std::function<bool(const std::string&)>& isCounted, Model::Time now)
{
    std::vector<Balance> result;
    for (auto& [name, bucket] : m_buckets) {
        if (!isCounted(name))
            continue;
        refill(name, bucket, now);
        if (bucket.tokens < bucket.burst * lowWatermark)
            bucket.lowAt = now;
        // The other hosts estimate the use from reports, and would take the last period's use for the present
        // one.
        const bool wasLow = bucket.lowAt && now - *bucket.lowAt < m_reportPeriod;
        const bool isDue = !bucket.balanceSentAt || now - *bucket.balanceSentAt >= balancePeriod;
        if (!wasLow || !isDue || bucket.reachableShare < minCountingShare)
            continue;
        result.push_back({ name, bucket.tokens });
        bucket.balanceSentAt = now;
    }
    return result;
}

void FleetAllowance::receiveBalances(
    const std::string& host, const std::vector<Balance>& balances, Model::Time now)
{
    for (const Balance& balance : balances) {
        const auto found = m_buckets.find(balance.customer);
        if (found == m_buckets.end())
            continue;
        Bucket& bucket = found->second;
        refill(balance.customer, bucket, now);
        bucket.receivedBalances[host] = { balance.available, now };
        std::erase_if(bucket.receivedBalances,
            [&](const auto& received) { return now - received.second.receivedAt > balanceLifetime; });
        bucket.tokens = balance.available;
        for (const auto& [sender, received] : bucket.receivedBalances)
            bucket.tokens = std::min(bucket.tokens, received.available);
    }
}

std::vector<std::string> FleetAllowance::reportingHosts(Model::Time now) const
{
    std::vector<std::string> result { m_self };
    for (const auto& [name, peer] : m_peers) {
        if (!isNotReporting(peer, now))
            result.push_back(name);
    }
    return result;
}

bool FleetAllowance::isReportOverdue(const Peer& peer, Model::Time now) const
{
    return !peer.lastReportAt
        || now - *peer.lastReportAt
        > std::chrono::duration_cast<Model::Duration>(m_reportPeriod * overduePeriods);
}

std::vector<Overrun> FleetAllowance::takeOverruns(Model::Time now)
{
    std::vector<Overrun> result;
    for (auto& [name, bucket] : m_buckets) {
        const double permitted = bucket.rate * seconds(overrunWindow) + bucket.burst;
        const double tolerated = toleratedFraction * permitted + toleratedOperations;
        const bool wasReported = bucket.overrunReportedAt && now - *bucket.overrunReportedAt < overrunWindow;
        if (wasReported || -bucket.tokens <= tolerated)
            continue;
        bucket.overrunReportedAt = now;
        result.push_back(overrunOf(name, bucket, now));
    }
    return result;
}

Overrun FleetAllowance::overrunOf(const std::string& customer, const Bucket& bucket, Model::Time now) const
{
    Overrun overrun { customer, bucket.rate, bucket.burst, -bucket.tokens, liveHosts(now), 1, 1 };
    for (const auto& [name, peer] : m_peers) {
        const auto usage = peer.usage.find(customer);
        if (usage != peer.usage.end() && usage->second.admittedRate > 0)
            ++overrun.admittingHosts;
        if (peer.startedAt && now - *peer.startedAt < recentStart)
            ++overrun.startedHosts;
    }
    return overrun;
}

std::vector<Usage> FleetAllowance::usage(Model::Time now)
{
    std::vector<Usage> result;
    for (auto& [name, bucket] : m_buckets) {
        refill(name, bucket, now);
        updateDemand(bucket, now);
        if (bucket.sharesUpdatedAt != now)
            updateShares(name, bucket, now);
        result.push_back({ name, bucket.admitted, bucket.demand, bucket.tokens });
    }
    return result;
}

}
