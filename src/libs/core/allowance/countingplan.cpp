#include "core/allowance/countingplan.h"

#include "core/model/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Allowance {

namespace {

    /// Returns as many of the hosts as the square root of their number. The order by hash changes the choice
    /// little when a host joins or leaves.
    std::vector<std::string> countingHostsAmong(std::vector<std::string> hosts)
    {
        const auto count = static_cast<std::size_t>(std::ceil(std::sqrt(hosts.size())));
        std::ranges::sort(hosts, {}, [](const std::string& host) { return Model::stableHash(host); });
        hosts.resize(count);
        return hosts;
    }

}

CountingPlan::CountingPlan(std::string self)
    : m_self(std::move(self))
    , m_hosts { m_self }
    , m_counting { m_self }
{
}

void CountingPlan::setHosts(const std::vector<std::string>& hosts)
{
    std::vector<std::string> sorted = hosts;
    std::ranges::sort(sorted);
    if (sorted == m_hosts)
        return;
    m_hosts = std::move(sorted);
    m_counting = countingHostsAmong(m_hosts);
    m_assigned.clear();
}

bool CountingPlan::isCountingHost(const std::string& host, const std::string& customer)
{
    return std::ranges::find(countingHosts(customer), host) != countingHosts(customer).end();
}

std::vector<std::string> CountingPlan::otherCountingHosts(const std::string& customer)
{
    std::vector<std::string> result;
    for (const std::string& host : countingHosts(customer)) {
        if (host != m_self && std::ranges::find(result, host) == result.end())
            result.push_back(host);
    }
    return result;
}

const CountingPlan::CountingHosts& CountingPlan::countingHosts(const std::string& customer)
{
    const auto [entry, isNew] = m_assigned.try_emplace(customer);
    if (!isNew)
        return entry->second;
    for (std::size_t rank = 0; rank < hostsPerCustomer; ++rank) {
        const int index = Model::rendezvousIndex(customer + '#' + std::to_string(rank), m_counting);
        entry->second[rank] = m_counting.at(static_cast<std::size_t>(index));
    }
    return entry->second;
}

}
