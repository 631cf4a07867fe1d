#pragma once

#include "core/model/time.h"
#include "core/quota/shards.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Quota {

/// The maximum time for which an entry host may spend a grant, counted from the time it sent the request.
constexpr Model::Duration maxGrantValidity = std::chrono::seconds(1);

/// How long the holder counts granted tokens as outstanding, from the time it replied; reported tokens stop
/// counting earlier. The excess over the validity covers clocks that run at different speeds.
constexpr Model::Duration outstandingPeriod(Model::Duration validity) { return validity * 3 / 2; }

/// A process that draws tokens. Each restart of the host's process has a higher incarnation.
struct EntryHost {
    std::string name;
    std::uint64_t incarnation = 0;
};

/// Usage of one grant so far. The values are cumulative, so reports may be lost, repeated or reordered.
struct GrantReport {
    /// Sequence number of the request that was granted.
    std::uint64_t grant = 0;
    MicroTokens spent = 0;
    MicroTokens returned = 0;
};

/// Requests tokens of one customer from all of its shards that the receiver holds, and reports on earlier
/// grants.
struct Draw {
    std::string customer;
    MicroTokens wanted = 0;
    /// Requested validity of the grant; at most `maxGrantValidity`. Tokens for waiting requests are spent at
    /// once: with a short validity they stop blocking the refill of the bucket without waiting for a report.
    Model::Duration validity = maxGrantValidity;
    std::vector<GrantReport> reports;
};

struct DrawRequest {
    /// Increases with each request of the sender's incarnation.
    std::uint64_t sequence = 0;
    std::vector<Draw> draws;
};

struct Grant {
    std::string customer;
    MicroTokens granted = 0;
    /// The receiver holds no shard of the customer.
    bool notHolder = false;
};

struct DrawReply {
    std::uint64_t sequence = 0;
    std::vector<Grant> grants;
};

}
