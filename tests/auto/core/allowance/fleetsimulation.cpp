#include "fleetsimulation.h"

#include <algorithm>

using namespace Allowance;
using namespace std::chrono_literals;
using Model::Duration;
using Model::Time;

namespace {

constexpr Duration step = 5ms;
constexpr Duration countingHostsPeriod = 1s;
constexpr Duration window = 5s;

Directory::Configuration configurationOf(const Directory::Customer& customer)
{
    Directory::Configuration configuration;
    configuration.customers.emplace(customer.name, customer);
    return configuration;
}

}

std::vector<std::string> hostNames(int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        names.push_back("host-" + std::to_string(i));
    return names;
}

FleetSimulation::FleetSimulation(int hosts, const Directory::Customer& customer)
    : m_customers(static_cast<std::size_t>(hosts), customer)
    , m_names(hostNames(hosts))
    , m_isPartitioned(static_cast<std::size_t>(hosts), false)
    , m_incarnations(static_cast<std::size_t>(hosts), 1)
    , m_startedAt(static_cast<std::size_t>(hosts), m_now)
    , m_configurations(static_cast<std::size_t>(hosts), 1)
    , m_versions(static_cast<std::size_t>(hosts))
{
    m_reportPlan.setHostCount(hosts);
    for (std::size_t i = 0; i < m_names.size(); ++i) {
        m_hosts.push_back(newHost(i));
        m_countingPlans.emplace_back(m_names[i]);
    }
}

FleetAllowance FleetSimulation::newHost(std::size_t index) const
{
    FleetAllowance host(m_names[index]);
    host.setReportPeriod(m_reportPlan.period());
    host.setPeers(m_names, m_now);
    host.setCustomers(configurationOf(m_customers[index]), m_now);
    return host;
}

void FleetSimulation::setLimit(int host, const Directory::Customer& customer)
{
    const auto index = static_cast<std::size_t>(host);
    m_customers.at(index) = customer;
    ++m_configurations.at(index);
    m_hosts.at(index).setCustomers(configurationOf(customer), m_now);
}

void FleetSimulation::restart(int host)
{
    const auto index = static_cast<std::size_t>(host);
    m_hosts.at(index) = newHost(index);
    m_countingPlans.at(index) = CountingPlan(m_names[index]);
    ++m_incarnations.at(index);
    m_startedAt.at(index) = m_now;
}

std::vector<Time> FleetSimulation::run(const std::vector<double>& rates, Duration duration)
{
    std::vector<Time> admitted;
    const Time end = m_now + duration;
    for (; m_now < end; m_now += step) {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            offer(i, rates.at(i), admitted);
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (isDue(i, reportPeriod(static_cast<int>(m_hosts.size()), m_now - m_startedAt[i])))
                report(i);
            if (!m_reportPlan.isRateReduced())
                continue;
            if (isDue(i, countingHostsPeriod))
                m_countingPlans[i].setHosts(
                    m_versions[i].upToDate(m_hosts[i].reportingHosts(m_now), m_reportPlan.period(), m_now));
            if (isDue(i, countPeriod))
                sendCounts(i);
        }
    }
    return admitted;
}

std::vector<Time> FleetSimulation::runEvenly(double rate, Duration duration)
{
    return run(std::vector<double>(m_hosts.size(), rate / static_cast<double>(m_hosts.size())), duration);
}

bool FleetSimulation::isDue(std::size_t host, Duration period) const
{
    const Duration offset = period * static_cast<int>(host) / static_cast<int>(m_hosts.size());
    return (m_now - Time() + offset) % period < step;
}

bool FleetSimulation::isConnected(std::size_t from, std::size_t to) const
{
    return to != from && !m_isPartitioned[from] && !m_isPartitioned[to];
}

void FleetSimulation::offer(std::size_t host, double rate, std::vector<Time>& admitted)
{
    std::poisson_distribution<int> count(rate * std::chrono::duration<double>(step).count());
    for (int n = rate > 0 ? count(m_generator) : 0; n > 0; --n) {
        ++m_offered;
        bool isAdmitted = m_hosts[host].admit(m_customers[host], m_now);
        for (int retry = 0; !isAdmitted && retry < m_retries; ++retry)
            isAdmitted = admitOnAnyHost();
        if (isAdmitted)
            admitted.push_back(m_now);
        else
            ++m_refused;
    }
}

bool FleetSimulation::admitOnAnyHost()
{
    const std::size_t host = m_generator() % m_hosts.size();
    return m_hosts[host].admit(m_customers[host], m_now);
}

void FleetSimulation::report(std::size_t from)
{
    const UsageReport report { m_names[from], m_incarnations[from], m_hosts[from].usage(m_now) };
    for (std::size_t to = 0; to < m_hosts.size(); ++to) {
        if (to == from || isConnected(from, to))
            m_versions[to].reported(m_names[from], m_configurations[from], m_now);
        if (isConnected(from, to))
            m_hosts[to].receive(report, m_now);
    }
}

void FleetSimulation::sendCounts(std::size_t from)
{
    const std::vector<Count> counts = m_hosts[from].takeCounts();
    const auto targets = m_countingPlans[from].otherCountingHosts(m_customers[from].name);
    for (std::size_t to = 0; to < m_hosts.size() && !counts.empty(); ++to) {
        if (isConnected(from, to) && std::ranges::find(targets, m_names[to]) != targets.end())
            m_hosts[to].receiveCounts(m_names[from], m_incarnations[from], counts, m_now);
    }
    sendBalances(from);
}

void FleetSimulation::sendBalances(std::size_t from)
{
    const auto isCounted = [&](const std::string& customer) {
        return m_countingPlans[from].isCountingHost(m_names[from], customer);
    };
    const auto balances = m_hosts[from].takeBalances(isCounted, m_now);
    for (std::size_t to = 0; to < m_hosts.size() && !balances.empty(); ++to) {
        CountingPlan& plan = m_countingPlans[to];
        if (isConnected(from, to) && !plan.isCountingHost(m_names[to], m_customers[from].name)
            && plan.isCountingHost(m_names[from], m_customers[from].name))
            m_hosts[to].receiveBalances(m_names[from], balances, m_now);
    }
}

std::size_t maxAdmittedInWindow(const std::vector<Time>& admitted)
{
    std::size_t result = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] > window)
            ++first;
        result = std::max(result, last - first + 1);
    }
    return result;
}

std::size_t permittedInWindow(const Directory::Customer& customer)
{
    const double limit = customer.rate * std::chrono::duration<double>(window).count() + customer.burst;
    return static_cast<std::size_t>(limit * 1.1 + 20);
}
