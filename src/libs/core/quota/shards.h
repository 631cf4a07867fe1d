#pragma once

#include <cstdint>
#include <string_view>

namespace Quota {

/// Tokens in millionths of a request, so that a rate can be divided among shards in integers: rounding down
/// never exceeds the rate and loses little of it.
using MicroTokens = std::int64_t;
constexpr MicroTokens tokensPerRequest = 1'000'000;

/// Shards are assigned to hosts in units of slots.
constexpr int slotCount = 1024;
/// The maximum number of shards of one customer.
constexpr int maxShards = 64;

/// Limits of a customer over all hosts: `rate` in requests per second, `burst` in requests.
struct Limits {
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;

    bool operator==(const Limits&) const = default;
};

/// Limits of one shard: `rate` in micro-tokens per second, `burst` in micro-tokens.
struct ShardLimits {
    MicroTokens rate = 0;
    MicroTokens burst = 0;

    bool operator==(const ShardLimits&) const = default;
};

/// The number of shards of a customer with these limits, from 1 to `maxShards`. Each shard gets a burst of at
/// least two requests if there are several, so that fractions of a token rarely delay a request.
int shardCount(const Limits& limits);
/// The limits of each shard, rounded down so that all shards together never exceed the customer's limits.
/// Rates and bursts above 8 million requests count as 8 million.
ShardLimits shardLimits(const Limits& limits);
/// The slot that contains a shard, from 0 to `slotCount` - 1. Derived from `Model::stableHash`, so all hosts
/// agree on it.
int slotOfShard(std::string_view customer, int shard);

}
