#pragma once

#include "core/directory/configuration.h"
#include "core/model/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Allowance {

/// Use of one customer's allowance by one host.
struct Usage {
    std::string customer;
    /// Operations admitted since the host's process started.
    std::uint64_t admitted = 0;
    /// Requested operations per second, a moving average that includes refused ones.
    double demand = 0;
    /// Operations that the whole fleet may still start at once, by this host's estimate; negative for a
    /// deficit.
    double available = 0;
};

/// Operations of a customer that a host has admitted, sent to the customer's counting hosts ahead of the
/// host's report.
struct Count {
    std::string customer;
    /// Operations admitted since the host's process started.
    std::uint64_t admitted = 0;
    /// Those among them that were admitted since the previous count.
    std::uint64_t recent = 0;
};

/// Operations of a customer that the whole fleet may still start at once, as known to a counting host;
/// negative for a deficit.
struct Balance {
    std::string customer;
    double available = 0;
};

/// Periodic report of a host to the others about its customers.
struct UsageReport {
    std::string host;
    /// Increases with every start of the host's process.
    std::uint64_t incarnation = 0;
    std::vector<Usage> usage;
};

/// A customer whose operations in the whole fleet have exceeded its limit, by a host's estimate.
struct Overrun {
    std::string customer;
    double rate = 0;
    double burst = 0;
    /// Operations beyond the limit.
    double excess = 0;
    /// Hosts that count as live, hosts that admit operations of the customer, and hosts that started within
    /// the last seconds; this one included.
    int liveHosts = 0;
    int admittingHosts = 0;
    int startedHosts = 0;
};

/// Limits the rate of each customer's operations over the whole fleet without a request to another host per
/// operation.
///
/// Every host keeps a token bucket with the customer's whole rate and burst. It charges its own operations to
/// the bucket at once, and those of the other hosts at an estimated rate that their reports correct. Above
/// the low watermark a host may also use surplus tokens; below it, only its own share of the rate, which is
/// proportional to its share of the demand. Otherwise all hosts could use the same tokens before they receive
/// each other's reports, which would multiply the rate by the number of hosts. A host that stops reporting is
/// assumed to use its share.
///
/// In a large fleet, whose reports are rare, a customer's counting hosts (`CountingPlan`) get the counts of
/// all hosts several times a second. They notify the others of the balance while it is below the low
/// watermark. Used on one thread.
class FleetAllowance {
public:
    explicit FleetAllowance(std::string self);

    /// The period in which the hosts report. A host counts as not reporting after several missed reports.
    void setReportPeriod(Model::Duration period) { m_reportPeriod = period; }

    /// Sets the hosts that may admit operations; this host's own name is ignored. Before the first call this
    /// host admits no operations of limited customers, since its share is unknown.
    void setPeers(const std::vector<std::string>& hosts, Model::Time now);
    /// Sets the customers of the configuration in force and removes the buckets of all others.
    void setCustomers(const Directory::Configuration& configuration, Model::Time now);
    /// Returns whether an operation may start now, and charges it if so.
    bool admit(const Directory::Customer& customer, Model::Time now);
    /// The same for an operation that was not admitted before; it is no further demand of the customer.
    bool admitAgain(const Directory::Customer& customer, Model::Time now);
    /// Counts an operation as demand that is not to be admitted yet.
    void demanded(const Directory::Customer& customer, Model::Time now);
    /// Returns after which time an operation may be admitted that waits behind `ahead` others of the
    /// customer; `nullopt` if the other hosts use up the rate. While this host has started so recently that
    /// it lacks the reports of others, the time is 0: it admits little until they arrive, usually within half
    /// a second.
    std::optional<Model::Duration> admissionWait(
        const Directory::Customer& customer, std::size_t ahead, Model::Time now);
    /// The state of the customer's bucket as of its last update, which the last decision was based on, for
    /// logs. Empty for an unknown customer.
    std::string describe(const std::string& customer) const;
    void receive(const UsageReport& report, Model::Time now);
    /// The entries of this host's own report.
    std::vector<Usage> usage(Model::Time now);

    /// Returns the counts of the customers with operations since the previous call.
    std::vector<Count> takeCounts();
    /// Charges the operations that another host has counted, if it has not reported them yet.
    void receiveCounts(const std::string& host, std::uint64_t incarnation, const std::vector<Count>& counts,
        Model::Time now);
    /// Returns the balances that are due to be sent to the other hosts: of the customers that are below the
    /// low watermark or were within the last report period. `isCounted` tells whether this host counts a
    /// customer's operations.
    std::vector<Balance> takeBalances(
        const std::function<bool(const std::string& customer)>& isCounted, Model::Time now);
    /// Replaces this host's estimate of the balances by those of a counting host.
    void receiveBalances(const std::string& host, const std::vector<Balance>& balances, Model::Time now);
    /// The hosts that report, including this one.
    std::vector<std::string> reportingHosts(Model::Time now) const;

    /// Number of hosts that are not presumed dead, including this one.
    int liveHosts(Model::Time now) const;
    /// The customers that have exceeded their limits by more than a tolerance; each is returned at most once
    /// in several seconds.
    std::vector<Overrun> takeOverruns(Model::Time now);

private:
    struct PeerUsage {
        std::uint64_t admitted = 0;
        /// The part of `admitted` that the host's last report included.
        std::uint64_t reported = 0;
        double demand = 0;
        /// The host's share (0 to 1) of the rate, as of its last report.
        double share = 0;
        /// Admitted operations per second, a moving average over the host's reports.
        double admittedRate = 0;
        /// Operations per second that are charged to the bucket until the next report.
        double estimatedRate = 0;
        Model::Time estimatedSince;
        /// Operations charged to the bucket by estimate since the last report.
        double estimatedOperations = 0;
        /// When a report of the host last included the customer. The first count covers an unknown time, so
        /// that it is not charged.
        std::optional<Model::Time> lastIncludedAt;
        /// When the estimate was last refunded because the host had admitted nothing.
        std::optional<Model::Time> refundedAt;
    };
    struct Peer {
        std::uint64_t incarnation = 0;
        /// When the first report or count of this incarnation arrived.
        std::optional<Model::Time> startedAt;
        std::optional<Model::Time> lastReportAt;
        Model::Time knownSince;
        std::map<std::string, PeerUsage> usage;
    };
    struct ReceivedBalance {
        double available = 0;
        Model::Time receivedAt;
    };
    struct Bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        /// Tokens from this host's own share of the rate, which it may also use below the low watermark.
        double ownTokens = 0;
        /// Tokens beyond its own share that this host may use until the next report, while the bucket is
        /// above the low watermark.
        double surplusTokens = 0;
        std::uint64_t admitted = 0;
        double demand = 0;
        double admittedRate = 0;
        std::uint64_t requested = 0;
        std::uint64_t requestedBefore = 0;
        std::uint64_t admittedBefore = 0;
        /// The part of `admitted` that the counting hosts were sent.
        std::uint64_t counted = 0;
        /// When the balance was last below the low watermark, and when this host last sent it to the others.
        std::optional<Model::Time> lowAt;
        std::optional<Model::Time> balanceSentAt;
        /// The newest balances by counting host.
        std::map<std::string, ReceivedBalance> receivedBalances;
        Model::Time refilledAt;
        Model::Time demandAt;
        /// Estimate of the operations per second that the other hosts admit.
        double estimatedRate = 0;
        /// This host's share (0 to 1) of the rate.
        double ownShare = 1;
        /// The joint share of this host and those that report to it.
        double reachableShare = 1;
        std::optional<Model::Time> sharesUpdatedAt;
        std::optional<Model::Time> overrunReportedAt;
    };

    Bucket& bucketOf(const Directory::Customer& customer, Model::Time now);
    void fillInitially(Bucket& bucket, Model::Time now) const;
    Peer* findPeer(const std::string& host, std::uint64_t incarnation, Model::Time now);
    void refill(const std::string& customer, Bucket& bucket, Model::Time now);
    void updateDemand(Bucket& bucket, Model::Time now) const;
    void updateShares(const std::string& customer, Bucket& bucket, Model::Time now);
    static void refundUnused(Bucket& bucket, PeerUsage& usage, Model::Time now);
    static void setEstimatedRate(PeerUsage& usage, double rate, Model::Time now);
    static double shareOf(double demand, double total, int hosts);
    Overrun overrunOf(const std::string& customer, const Bucket& bucket, Model::Time now) const;
    bool isReportOverdue(const Peer& peer, Model::Time now) const;
    bool isShareReserved(const Peer& peer, Model::Time now) const;
    bool isPresumedDead(const Peer& peer, Model::Time now) const;
    bool isNotReporting(const Peer& peer, Model::Time now) const;
    bool isSettling(Model::Time now) const;

    std::string m_self;
    Model::Duration m_reportPeriod = std::chrono::milliseconds(200);
    bool m_arePeersKnown = false;
    Model::Time m_peersKnownSince;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, Bucket> m_buckets;
};

}
