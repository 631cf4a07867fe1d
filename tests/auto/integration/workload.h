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

/// Records the writes and reads of one session and checks them for consistency. Each write appends its number
/// and a comma to the value of the session's key.
class SessionHistory {
public:
    /// `outcome` is `done`, `not_run` or `unknown`.
    void recordWrite(int number, const std::string& outcome) { m_outcomes[number] = outcome; }
    /// Checks read-your-writes for a read that began after all recorded writes had ended.
    void recordRead(const std::string& value);
    /// Checks the final value of the key: each write must occur exactly once if it is done, never if it was
    /// not run, and at most once if its outcome is unknown. Returns one line for each fault, including those
    /// of reads.
    std::vector<std::string> check(const std::string& finalValue) const;

    const std::map<int, std::string>& outcomes() const { return m_outcomes; }

private:
    std::map<int, std::string> m_outcomes;
    std::vector<std::string> m_faults;
};

/// Sessions that write and read through randomly chosen hosts until they are stopped, each on its own thread.
class Workload {
public:
    struct Options {
        int sessions = 6;
        std::uint64_t seed = 1;
        /// Repeats writes of unknown outcome with their request id until one is acknowledged, at most 200
        /// times.
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

    /// Stops, checks each session's history against the value that `readFinal` returns for its key, and
    /// returns one line for each fault.
    std::vector<std::string> check(const std::function<std::string(const std::string&)>& readFinal);
    /// The number of requests by result: `done`, an error code, `not_connected` or `no_answer`.
    std::map<std::string, int> counts() const;
    /// The longest time without an acknowledged write of any session.
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

/// Returns a request id that starts with the current time in s since the Unix epoch, as the proxy requires.
std::string makeRequestId(const std::string& text);

}
