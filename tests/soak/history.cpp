#include "history.h"

#include <algorithm>

namespace Soak {

namespace {

    constexpr std::chrono::seconds rateWindow { 5 };
    /// The deployments permit a tenth more than rate and burst, and 20 operations on top.
    constexpr double rateToleranceFactor = 1.1;
    constexpr double rateToleranceOperations = 20;

}

void History::recordWrite(const std::string& data, WriteOutcome outcome)
{
    const std::lock_guard lock(m_mutex);
    m_writes[data] = outcome;
}

void History::recordServed(Time at)
{
    const std::lock_guard lock(m_mutex);
    m_served.push_back(at);
}

void History::addViolation(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(text);
}

void History::checkWrites(const Standins::Databases& databases)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [data, outcome] : m_writes) {
        const int commits = databases.commits(data);
        if (commits > 1)
            m_violations.push_back("write committed " + std::to_string(commits) + " times: " + data);
        if (outcome == WriteOutcome::Acknowledged && commits == 0)
            m_violations.push_back("write acknowledged but not committed: " + data);
        if (outcome == WriteOutcome::Refused && commits > 0)
            m_violations.push_back("write refused but committed: " + data);
    }
    for (const std::string& line : databases.protocolViolations())
        m_violations.push_back("a database received an invalid line: " + line);
    for (const std::string& customer : databases.customers()) {
        if (customer != "acme" && customer != "-")
            m_violations.push_back(
                "a connection to a database was opened for the unknown customer " + customer);
    }
}

void History::checkRate(double rate, double burst)
{
    const std::lock_guard lock(m_mutex);
    std::ranges::sort(m_served);
    const double seconds = std::chrono::duration<double>(rateWindow).count();
    const auto allowed
        = static_cast<std::size_t>((rate * seconds + burst) * rateToleranceFactor + rateToleranceOperations);
    std::size_t highest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_served.size(); ++last) {
        while (m_served[last] - m_served[first] > rateWindow)
            ++first;
        highest = std::max(highest, last - first + 1);
    }
    if (highest > allowed) {
        m_violations.push_back("served " + std::to_string(highest) + " operations in five seconds; at most "
            + std::to_string(allowed) + " are allowed");
    }
}

std::vector<std::string> History::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::string History::summary() const
{
    const std::lock_guard lock(m_mutex);
    const auto count = [this](WriteOutcome outcome) {
        return std::to_string(
            std::ranges::count_if(m_writes, [&](const auto& write) { return write.second == outcome; }));
    };
    return std::to_string(m_served.size())
        + " operations served; writes: " + count(WriteOutcome::Acknowledged) + " acknowledged, "
        + count(WriteOutcome::Refused) + " refused, " + count(WriteOutcome::Unknown) + " unknown";
}

}
