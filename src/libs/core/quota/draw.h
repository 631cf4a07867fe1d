#pragma once

#include "core/model/time.h"
#include "core/quota/shards.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Quota {

/// The longest time that an entry host may spend a grant, counted from when it sent the request.
constexpr Model::Duration maxGrantValidity = std::chrono::seconds(1);

/// How long the holder counts a grant, from when it answered, unless it is reported earlier. The excess over
/// the validity covers clocks that run at different speeds.
constexpr Model::Duration outstandingPeriod(Model::Duration validity) { return validity * 3 / 2; }

/// A process that draws tokens. A restarted one has a higher incarnation.
struct EntryHost {
    std::string name;
    std::uint64_t incarnation = 0;
};

/// What became of one grant so far. The sums only rise, so a report may be lost, repeated or overtaken.
struct GrantReport {
    /// Sequence of the request that was granted.
    std::uint64_t grant = 0;
    MicroTokens spent = 0;
    MicroTokens returned = 0;
};

/// Draws from all shards of the customer that the receiver holds.
struct Draw {
    std::string customer;
    MicroTokens wanted = 0;
    /// How long the grant is to be valid; `maxGrantValidity` at most. Tokens for requests that wait are
    /// spent at once: with a short validity they do not keep the bucket from refilling until they are
    /// reported.
    Model::Duration validity = maxGrantValidity;
    std::vector<GrantReport> reports;
};

struct DrawRequest {
    /// Rises with each request of the sender's incarnation.
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
