#include "workload.h"

#include "process.h"

#include <algorithm>
#include <sstream>

namespace Integration {

namespace {

    constexpr int maxRepeats = 200;
    constexpr std::chrono::milliseconds pauseAfterRefusal { 10 };

    /// Counts how often each number occurs in a list that is separated by commas.
    std::map<int, int> occurrences(const std::string& value)
    {
        std::map<int, int> result;
        std::istringstream numbers(value);
        for (std::string number; std::getline(numbers, number, ',');)
            ++result[std::atoi(number.c_str())];
        return result;
    }

}

void SessionHistory::recordRead(const std::string& value)
{
    const auto seen = occurrences(value);
    for (const auto& [number, outcome] : m_outcomes) {
        if (outcome == "done" && !seen.contains(number))
            m_faults.push_back("a read does not include the acknowledged write " + std::to_string(number));
    }
}

std::vector<std::string> SessionHistory::check(const std::string& finalValue) const
{
    std::vector<std::string> faults = m_faults;
    const auto seen = occurrences(finalValue);
    for (const auto& [number, outcome] : m_outcomes) {
        const auto found = seen.find(number);
        const int count = found == seen.end() ? 0 : found->second;
        const bool isConsistent = outcome == "done" ? count == 1
            : outcome == "not_run"                  ? count == 0
                                                    : count <= 1;
        if (!isConsistent)
            faults.push_back("write " + std::to_string(number) + " with outcome " + outcome + " occurs "
                + std::to_string(count) + " times");
    }
    for (const auto& [number, count] : seen) {
        if (!m_outcomes.contains(number))
            faults.push_back("number " + std::to_string(number) + " was never written");
    }
    return faults;
}

std::string makeRequestId(const std::string& text)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(now).count()) + "-" + text;
}

Workload::Workload(std::string key, std::vector<std::string> hosts, Options options)
    : m_key(std::move(key))
    , m_hosts(std::move(hosts))
    , m_options(options)
    , m_runId(std::to_string(Clock::now().time_since_epoch().count()))
{
    for (int index = 0; index < m_options.sessions; ++index) {
        auto session = std::make_unique<Session>();
        session->name = "session" + std::to_string(index) + "-" + m_runId;
        m_sessions.push_back(std::move(session));
    }
    for (std::size_t index = 0; index < m_sessions.size(); ++index) {
        Session& session = *m_sessions[index];
        session.thread = std::thread([this, &session, index] { run(session, m_options.seed + index); });
    }
}

Workload::~Workload() { stop(); }

void Workload::stop()
{
    m_isStopping = true;
    for (const auto& session : m_sessions) {
        if (session->thread.joinable())
            session->thread.join();
    }
}

void Workload::run(Session& session, std::uint64_t seed)
{
    Caller caller(m_key);
    std::mt19937_64 generator(seed);
    for (int number = 1; !m_isStopping; ++number) {
        write(session, caller, number, m_hosts[generator() % m_hosts.size()]);
        const Reply reply = caller.read(m_hosts[generator() % m_hosts.size()], "GET " + session.name);
        if (reply.isDone())
            session.history.recordRead(valueOf(reply));
        count(reply);
    }
}

void Workload::write(Session& session, Caller& caller, int number, const std::string& host)
{
    const std::string sql = "APPEND " + session.name + " " + std::to_string(number) + ",";
    Caller::Options options;
    if (m_options.usesRequestIds)
        options.requestId = makeRequestId(session.name + "-" + std::to_string(number));
    Reply reply = caller.write(host, sql, options);
    count(reply);
    // If a repetition is refused, the outcome of the first attempt is still unknown.
    bool isUnknown = reply.outcome() == "unknown";
    for (int repeat = 0; isUnknown && m_options.usesRequestIds && repeat < maxRepeats; ++repeat) {
        std::this_thread::sleep_for(pauseAfterRefusal);
        reply = caller.write(m_hosts[static_cast<std::size_t>(repeat) % m_hosts.size()], sql, options);
        count(reply);
        isUnknown = !reply.isDone();
    }
    session.history.recordWrite(number, isUnknown ? "unknown" : reply.outcome());
    if (reply.isDone()) {
        const std::scoped_lock lock(m_mutex);
        m_longestGap = std::max(m_longestGap, Clock::now() - m_lastDone);
        m_lastDone = Clock::now();
        ++m_done;
    } else {
        std::this_thread::sleep_for(pauseAfterRefusal);
    }
}

void Workload::count(const Reply& reply)
{
    const std::scoped_lock lock(m_mutex);
    if (reply.status == 0)
        ++m_counts[reply.isUnsent ? "not_connected" : "no_answer"];
    else
        ++m_counts[reply.isDone() ? "done" : reply.code()];
}

bool Workload::waitForWrites(int count) const
{
    const int wanted = m_done + count;
    return waitUntil([&] { return m_done >= wanted; });
}

std::vector<std::string> Workload::check(const std::function<std::string(const std::string&)>& readFinal)
{
    stop();
    std::vector<std::string> faults;
    for (const auto& session : m_sessions) {
        for (const std::string& fault : session->history.check(readFinal(session->name)))
            faults.push_back(session->name + ": " + fault);
    }
    return faults;
}

std::map<std::string, int> Workload::counts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_counts;
}

std::chrono::milliseconds Workload::longestGap() const
{
    const std::scoped_lock lock(m_mutex);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_longestGap);
}

}
