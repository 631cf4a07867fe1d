#pragma once

#include "caller.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace Integration {

/// What one session did and saw. Each write appends its number and a comma to the session's key.
class SessionHistory {
public:
    void recordWrite(int number, const std::string& outcome) { m_outcomes[number] = outcome; }
    /// Checks a read that began after all recorded writes had ended: read-your-writes.
    void recordRead(const std::string& value);
    /// Checks the content of the databases at the end. Returns what is wrong, one line each.
    std::vector<std::string> check(const std::string& finalValue) const;

    const std::map<int, std::string>& outcomes() const { return m_outcomes; }

private:
    std::map<int, std::string> m_outcomes;
    std::vector<std::string> m_faults;
};

/// Sessions that write and read through changing hosts until they are stopped. Each has a thread.
class Workload {
public:
    struct Options {
        int sessions = 6;
        std::uint64_t seed = 1;
        /// Repeats writes of unknown outcome with their request id until it is known.
        bool usesRequestIds = false;
    };

    Workload(std::string key, std::vector<std::string> hosts, Options options);
    ~Workload();
    Workload(const Workload&) = delete;
    Workload& operator=(const Workload&) = delete;

    int writesDone() const { return m_done; }
    /// Waits until `count` further writes are acknowledged.
    bool waitForWrites(int count) const;
    void stop();

    /// Stops, reads each session's key with `readFinal` and returns what is wrong.
    std::vector<std::string> check(const std::function<std::string(const std::string&)>& readFinal);
    /// How often each outcome or error code was received.
    std::map<std::string, int> counts() const;
    /// The longest time between two acknowledged writes of all sessions together.
    std::chrono::milliseconds longestGap() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Session {
        std::string name;
        SessionHistory history;
        std::thread thread;
    };

    void run(Session& session, std::uint64_t seed);
    void write(Session& session, Caller& caller, int number, const std::string& host);
    void count(const Reply& reply);

    std::string m_key;
    std::vector<std::string> m_hosts;
    Options m_options;
    std::string m_runId;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_done = 0;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_counts;
    Clock::time_point m_lastDone = Clock::now();
    Clock::duration m_longestGap {};
    std::vector<std::unique_ptr<Session>> m_sessions;
};

/// A request id of the present time.
std::string makeRequestId(const std::string& text);

}
