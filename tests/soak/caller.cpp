#include "caller.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace Soak {

namespace {

    using namespace std::chrono_literals;

    constexpr int operationsPerSession = 25;
    constexpr auto pauseBetweenOperations = 8ms;
    constexpr auto pauseAfterFailure = 60ms;

    /// Whether an error code guarantees that the operation had no effect.
    bool guaranteesNoEffect(const std::string& code)
    {
        static const std::set<std::string> codes { "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE",
            "CONNLIMIT", "NOAUTH", "NODB" };
        return codes.contains(code);
    }

    WriteOutcome outcomeOf(const std::vector<std::string>& answer)
    {
        if (isComplete(answer))
            return WriteOutcome::Acknowledged;
        // Without its READY line, the response is incomplete and proves nothing.
        const bool isFullyReceived = !answer.empty() && answer.back().starts_with("READY");
        return isFullyReceived && guaranteesNoEffect(errorCode(answer)) ? WriteOutcome::Refused
                                                                        : WriteOutcome::Unknown;
    }

}

Caller::Caller(TestCluster& cluster, int hosts, int index, std::uint64_t seed, History& history)
    : m_cluster(cluster)
    , m_hosts(hosts)
    , m_history(history)
    , m_random(seed * 1000 + static_cast<std::uint64_t>(index))
    , m_item("item" + std::to_string(index))
{
}

void Caller::run(const std::atomic<bool>& isStopping)
{
    while (!isStopping) {
        runSession(isStopping);
        std::this_thread::sleep_for(pauseAfterFailure);
    }
}

void Caller::runSession(const std::atomic<bool>& isStopping)
{
    static constexpr std::array<const char*, 3> databases { "strict", "own", "bounded" };
    m_route = static_cast<Route>(m_random() % databases.size());
    m_sessionAcknowledged = 0;
    const int host = static_cast<int>(m_random() % static_cast<std::uint64_t>(m_hosts));
    m_client = std::make_unique<Client>(m_cluster.callers(host));
    if (!m_client->open(databases.at(static_cast<std::size_t>(m_route)), "key-1").starts_with("READY"))
        return;
    for (int i = 0; i < operationsPerSession && !isStopping; ++i) {
        const auto kind = m_random() % 10;
        const bool canContinue = kind < 5 ? read() : kind < 8 ? write() : transact();
        if (!canContinue)
            return;
        std::this_thread::sleep_for(pauseBetweenOperations);
    }
}

bool Caller::read()
{
    // The oldest write that the read may return is the newest one acknowledged before it began: by any
    // session on the route `strict`, by this one on `own`. Reads on `bounded` may return any write.
    const int oldestAllowed = m_route == Route::Strict ? m_acknowledged
        : m_route == Route::Own                        ? m_sessionAcknowledged
                                                       : 0;
    const auto answer = m_client->query("READ " + m_item);
    if (answer.empty() || !answer.back().starts_with("READY"))
        return false;
    if (!isComplete(answer))
        return errorCode(answer) == "BUSY";
    m_history.recordServed(std::chrono::steady_clock::now());
    if (answer.size() != 3 || !answer[0].starts_with("DATAROW ")) {
        m_history.addViolation("unexpected response to a read of " + m_item + ": " + answer[0]);
        return false;
    }
    checkRow(answer[0].substr(8), oldestAllowed);
    return true;
}

void Caller::checkRow(const std::string& row, int oldestAllowed)
{
    const std::string prefix = m_item + "w";
    if (!row.empty() && !row.starts_with(prefix))
        return m_history.addViolation("a read of " + m_item + " returned data of another item: " + row);
    const int number = row.empty() ? 0 : std::atoi(row.c_str() + prefix.size());
    if (m_refused.contains(number))
        m_history.addViolation("a read returned data of a refused write: " + row);
    if (number < oldestAllowed && !m_unknown.contains(number)) {
        m_history.addViolation("a read of " + m_item + " returned write " + std::to_string(number)
            + " after write " + std::to_string(oldestAllowed) + " was acknowledged");
    }
}

bool Caller::write()
{
    const std::string data = nextData();
    return sendDecidingStatement("WRITE " + m_item + " " + data, data);
}

bool Caller::transact()
{
    const std::string data = nextData();
    if (!isComplete(m_client->query("BEGIN"))
        || !isComplete(m_client->query("WRITE " + m_item + " " + data))) {
        recordOutcome(data, WriteOutcome::Refused);
        return isComplete(m_client->query("ROLLBACK"));
    }
    const auto end = m_random() % 4;
    if (end == 0) {
        recordOutcome(data, WriteOutcome::Refused);
        return isComplete(m_client->query("ROLLBACK"));
    }
    if (end == 1) {
        recordOutcome(data, WriteOutcome::Refused);
        return false;
    }
    return sendDecidingStatement("COMMIT", data);
}

bool Caller::sendDecidingStatement(const std::string& text, const std::string& data)
{
    const WriteOutcome outcome = outcomeOf(m_client->query(text));
    recordOutcome(data, outcome);
    return outcome != WriteOutcome::Unknown;
}

void Caller::recordOutcome(const std::string& data, WriteOutcome outcome)
{
    m_history.recordWrite(data, outcome);
    if (outcome == WriteOutcome::Acknowledged) {
        m_acknowledged = m_sessionAcknowledged = m_lastNumber;
        m_history.recordServed(std::chrono::steady_clock::now());
    } else if (outcome == WriteOutcome::Unknown) {
        m_unknown.insert(m_lastNumber);
    } else {
        m_refused.insert(m_lastNumber);
    }
}

std::string Caller::nextData() { return m_item + "w" + std::to_string(++m_lastNumber); }

}
