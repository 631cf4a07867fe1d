#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace Failover {

enum class ReachabilityState : std::uint8_t {
    /// No recent evidence.
    Unknown,
    Reachable,
    Unreachable,
};

/// Tracks whether this host gets responses from each upstream. Used on one thread.
class Reachability {
public:
    /// A message was sent or a connection attempt started.
    void requestSent(const std::string& upstream, Model::Time now);
    /// The upstream sent a response of any kind on any connection.
    void responseReceived(const std::string& upstream, Model::Time now);
    /// A connection was refused or lost.
    void failed(const std::string& upstream, Model::Time now);
    /// Whether the upstream has left requests unanswered for so long that it should be asked for its status,
    /// which it answers even if it lets the requests wait, for example writes for a replica. Returns true
    /// once until the upstream responds again.
    bool takeProbe(const std::string& upstream, Model::Time now);
    /// This process was paused, so that responses may not have been read yet.
    void processPaused(Model::Time now);
    /// Discards the evidence about the upstream because its role changed.
    void reset(const std::string& upstream);

    ReachabilityState state(const std::string& upstream, Model::Time now) const;

private:
    struct Record {
        std::optional<Model::Time> respondedAt;
        /// When the oldest request since the last response was sent. Starts again if no request was sent for
        /// longer than the evidence lifetime.
        std::optional<Model::Time> unansweredSince;
        std::optional<Model::Time> lastRequestAt;
        /// The status was requested since `unansweredSince`.
        bool isProbed = false;
        std::optional<Model::Time> failedAt;
        int failures = 0;
    };

    std::unordered_map<std::string, Record> m_records;
};

}
