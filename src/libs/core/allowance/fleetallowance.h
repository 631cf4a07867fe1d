#pragma once

#include "core/directory/configuration.h"
#include "core/model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Allowance {

/// What one host has admitted of a customer.
struct Usage {
    std::string customer;
    /// Operations since the host's process started.
    std::uint64_t admitted = 0;
    /// Operations per second that were asked for lately.
    double demand = 0;
    /// Operations that the whole fleet may still start at once, as the host sees it.
    double available = 0;
};

/// What a host tells the others about its customers.
struct UsageReport {
    std::string host;
    /// Rises with every start of the host's process.
    std::uint64_t incarnation = 0;
    std::vector<Usage> usage;
};

/// Limits each customer's operations over the whole fleet without asking anybody before an operation.
///
/// Every host keeps a token bucket of the customer's whole rate and burst, takes its own operations from it
/// at once and those of the others as it expects them, corrected by their reports. A bucket that is well
/// filled may be used freely; a low one only at the host's part of the rate, which follows its part of the
/// demand, so that the reports' delay does not multiply the rate by the number of hosts. A host that falls
/// silent is assumed to use its part. Used on one thread.
class FleetAllowance {
public:
    explicit FleetAllowance(std::string self);

    /// How often the hosts report; a host is silent once several reports are missing.
    void setReportPeriod(Model::Duration period) { m_reportPeriod = period; }

    /// The other hosts that may admit operations.
    void setPeers(const std::vector<std::string>& hosts, Model::Time now);
    /// The customers of the configuration in force; the limits of all others are forgotten.
    void setCustomers(const Directory::Configuration& configuration, Model::Time now);
    /// Whether an operation may start now; if so, it is counted.
    bool admit(const Directory::Customer& customer, Model::Time now);
    /// The figures that the last decision on the customer's operations rested on, for logs.
    std::string describe(const std::string& customer) const;
    void receive(const UsageReport& report, Model::Time now);
    /// The host's own report; its host and incarnation are left to the caller.
    std::vector<Usage> usage(Model::Time now);
    /// Number of hosts that are taken to be alive, this one included.
    int liveHosts(Model::Time now) const;

private:
    struct PeerUsage {
        std::uint64_t admitted = 0;
        double demand = 0;
        /// Of the rate, as of the last report.
        double share = 0;
        /// Operations per second that were admitted lately.
        double admittedRate = 0;
        /// Operations per second that are taken from the bucket until the next report.
        double estimatedRate = 0;
        Model::Time estimatedSince;
        /// Taken from the bucket so far since the last report.
        double estimatedOperations = 0;
        /// When the host named the customer last; before it did, its count says nothing of the present.
        std::optional<Model::Time> lastIncludedAt;
        /// When the host was last found to have admitted nothing.
        std::optional<Model::Time> refundedAt;
    };
    struct Peer {
        std::uint64_t incarnation = 0;
        std::optional<Model::Time> lastReportAt;
        Model::Time knownSince;
        std::map<std::string, PeerUsage> usage;
    };
    struct Bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        /// Tokens of the host's own part, used while the bucket is low.
        double ownTokens = 0;
        /// What the host may use of a well filled bucket beyond its own part until the next report.
        double surplusTokens = 0;
        std::uint64_t admitted = 0;
        double demand = 0;
        double admittedRate = 0;
        std::uint64_t requested = 0;
        std::uint64_t requestedBefore = 0;
        std::uint64_t admittedBefore = 0;
        Model::Time refilledAt;
        Model::Time demandAt;
        /// Operations per second that the other hosts are assumed to admit.
        double estimatedRate = 0;
        /// This host's part of the rate.
        double ownShare = 1;
        /// The part of this host and those that it hears of.
        double reachableShare = 1;
        std::optional<Model::Time> sharesUpdatedAt;
    };

    Bucket& bucketOf(const Directory::Customer& customer, Model::Time now);
    void refill(const std::string& customer, Bucket& bucket, Model::Time now);
    void updateDemand(Bucket& bucket, Model::Time now) const;
    void updateShares(const std::string& customer, Bucket& bucket, Model::Time now);
    static void refundUnused(Bucket& bucket, PeerUsage& usage, Model::Time now);
    static void setEstimatedRate(PeerUsage& usage, double rate, Model::Time now);
    static double shareOf(double demand, double total, int hosts);
    bool isReportOverdue(const Peer& peer, Model::Time now) const;
    bool isShareReserved(const Peer& peer, Model::Time now) const;
    bool isPresumedDead(const Peer& peer, Model::Time now) const;
    bool isNotReporting(const Peer& peer, Model::Time now) const;

    std::string m_self;
    Model::Duration m_reportPeriod = std::chrono::milliseconds(200);
    std::map<std::string, Peer> m_peers;
    std::map<std::string, Bucket> m_buckets;
};

}
