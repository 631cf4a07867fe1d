#pragma once

#include "sessionplatform/databases.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Soak {

/// What the caller of a write was told.
enum class WriteOutcome : std::uint8_t {
    Acknowledged,
    /// The answer promised that nothing is kept, or the transaction was never committed.
    Refused,
    /// No answer, or one that promises nothing.
    Unknown,
};

/// What all callers were told, and the promises that it is held against. Any thread may use it.
class History {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Every write has data of its own.
    void recordWrite(const std::string& data, WriteOutcome outcome);
    /// An operation was served.
    void recordServed(Time at);
    /// A promise was broken.
    void addViolation(const std::string& text);

    /// Holds every write that has ended against what the databases committed. Refused writes that a delayed
    /// link may still deliver count as well: a refusal is a promise.
    void checkWrites(const Standins::Databases& databases);
    /// Holds the served operations against the rate and burst of the only customer.
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
