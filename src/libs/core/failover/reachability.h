#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace Failover {

enum class ReachabilityState : std::uint8_t {
    /// Nothing was sent lately.
    Unknown,
    Reachable,
    Unreachable,
};

/// Whether this host gets answers from each upstream. Used on one thread.
class Reachability {
public:
    /// A message or a connection attempt went out.
    void requestSent(const std::string& upstream, Model::Time now);
    /// The upstream answered anything.
    void responseReceived(const std::string& upstream, Model::Time now);
    /// A connection was refused or broke.
    void failed(const std::string& upstream, Model::Time now);
    /// This process stood still, so that answers may wait unread.
    void processPaused(Model::Time now);
    /// What is known of the upstream no longer counts, because its role changed.
    void reset(const std::string& upstream);

    ReachabilityState state(const std::string& upstream, Model::Time now) const;

private:
    struct Record {
        std::optional<Model::Time> respondedAt;
        /// When the oldest message went out to which, and since which, nothing was heard.
        std::optional<Model::Time> unansweredSince;
        std::optional<Model::Time> lastRequestAt;
        std::optional<Model::Time> failedAt;
        int failures = 0;
    };

    std::unordered_map<std::string, Record> m_records;
};

}
