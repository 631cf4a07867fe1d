#pragma once

#include "core/allowance/countingplan.h"
#include "core/allowance/fleetallowance.h"
#include "core/allowance/reportedversions.h"
#include "core/allowance/reportplan.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// The names of the hosts of a simulated fleet: host-0, host-1 and so on.
std::vector<std::string> hostNames(int count);

/// Simulates hosts that report to one another the use of one customer's limit, and that send counts between
/// the reports if the fleet is large. Each host does so at a moment of its own within the period. Hosts can
/// be partitioned from all others and restarted.
class FleetSimulation {
public:
    FleetSimulation(int hosts, const Directory::Customer& customer);

    void setPartitioned(int host, bool isPartitioned)
    {
        m_isPartitioned.at(static_cast<std::size_t>(host)) = isPartitioned;
    }
    /// Sets how often a refused operation is retried at most, each time on a random host.
    void setRetries(int retries) { m_retries = retries; }
    void restart(int host);
    /// Changes the customer's limit on one host, as a host does that adopts a configuration.
    void setLimit(int host, const Directory::Customer& customer);

    /// Offers operations at `rates` (per second, one for each host) for `duration`. Returns the times of
    /// admission.
    std::vector<Model::Time> run(const std::vector<double>& rates, Model::Duration duration);
    /// The same with a rate for the whole fleet, whose hosts get equal parts.
    std::vector<Model::Time> runEvenly(double rate, Model::Duration duration);

    std::size_t offered() const { return m_offered; }
    std::size_t refused() const { return m_refused; }
    void resetCounts() { m_offered = m_refused = 0; }

private:
    Allowance::FleetAllowance newHost(std::size_t index) const;
    void offer(std::size_t host, double rate, std::vector<Model::Time>& admitted);
    bool admitOnAnyHost();
    bool isDue(std::size_t host, Model::Duration period) const;
    bool isConnected(std::size_t from, std::size_t to) const;
    void report(std::size_t from);
    void sendCounts(std::size_t from);
    void sendBalances(std::size_t from);

    Model::Time m_now { std::chrono::seconds(1000) };
    /// The customer with the limit that each host knows.
    std::vector<Directory::Customer> m_customers;
    std::vector<std::string> m_names;
    std::vector<bool> m_isPartitioned;
    Allowance::ReportPlan m_reportPlan;
    std::vector<Allowance::FleetAllowance> m_hosts;
    std::vector<Allowance::CountingPlan> m_countingPlans;
    std::vector<std::uint64_t> m_incarnations;
    std::vector<Model::Time> m_startedAt;
    /// By host: the version of its configuration, and what the hosts have reported to it.
    std::vector<std::uint64_t> m_configurations;
    std::vector<Allowance::ReportedVersions> m_versions;
    std::mt19937 m_generator { 4711 };
    int m_retries = 0;
    std::size_t m_offered = 0;
    std::size_t m_refused = 0;
};

/// The maximum number of operations admitted in any window of 5 s.
std::size_t maxAdmittedInWindow(const std::vector<Model::Time>& admitted);

/// The operations that the deployments permit in a window of 5 s: the rate times the window plus the burst,
/// with a tolerance of 10 % and 20 operations.
std::size_t permittedInWindow(const Directory::Customer& customer);
