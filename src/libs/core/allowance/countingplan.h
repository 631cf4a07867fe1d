#pragma once

#include "core/model/time.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Allowance {

/// How often each host sends its counts, and how often a counting host looks for low balances.
constexpr Model::Duration countPeriod = std::chrono::milliseconds(200);

/// Assigns each customer to the hosts that count its operations in a large fleet.
///
/// The regular reports of a large fleet are rare, so that several seconds of operations are unknown to the
/// other hosts. Each host therefore also sends its counts to the customer's counting hosts several times a
/// second, and these notify all hosts when the customer's limit is nearly used up. There are two counting
/// hosts for each customer, so that one may fail. Few hosts count, so that the notifications of many
/// customers at once fit into few messages. Used on one thread.
class CountingPlan {
public:
    explicit CountingPlan(std::string self);

    /// Sets the hosts that can count: those that report, this one included.
    void setHosts(const std::vector<std::string>& hosts);
    bool isCountingHost(const std::string& host, const std::string& customer);
    /// The counting hosts of the customer other than this host.
    std::vector<std::string> otherCountingHosts(const std::string& customer);

private:
    static constexpr std::size_t hostsPerCustomer = 2;
    using CountingHosts = std::array<std::string, hostsPerCustomer>;

    const CountingHosts& countingHosts(const std::string& customer);

    std::string m_self;
    /// All hosts that can count, in ascending order.
    std::vector<std::string> m_hosts;
    /// The hosts among them that do.
    std::vector<std::string> m_counting;
    /// By customer. The same host may be assigned twice.
    std::map<std::string, CountingHosts> m_assigned;
};

}
