#pragma once

#include "sessionplatform/databases.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Soak {

/// Outcome of a write, according to the responses that its caller received.
enum class WriteOutcome : std::uint8_t {
    Acknowledged,
    /// The response guarantees that the write had no effect, or the caller did not commit the transaction.
    Refused,
    /// There was no response, or one that guarantees nothing.
    Unknown,
};

/// Records the responses that all callers received and checks them against the guarantees of the proxy.
/// Thread-safe.
class History {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records the outcome of a write. The data of all writes must differ.
    void recordWrite(const std::string& data, WriteOutcome outcome);
    /// Records that an operation was served.
    void recordServed(Time at);
    /// Records a violated guarantee.
    void addViolation(const std::string& text);

    /// Checks every recorded write against the commits of the databases. A refused write must not have been
    /// committed, even if a delayed link delivered it later: a refusal guarantees that the write has no
    /// effect.
    void checkWrites(const Standins::Databases& databases);
    /// Checks the served operations of each interval of 5 s against the rate, in operations per second, and
    /// the burst of the only customer.
    void checkRate(double rate, double burst);

    std::vector<std::string> violations() const;
    std::string summary() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, WriteOutcome> m_writes;
    std::vector<Time> m_served;
    std::vector<std::string> m_violations;
};

}
