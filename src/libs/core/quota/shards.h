#pragma once

#include <cstdint>
#include <string_view>

namespace Quota {

/// Tokens are counted in millionths of a request, so that rates divide among shards without gain.
using MicroTokens = std::int64_t;
constexpr MicroTokens tokensPerRequest = 1'000'000;

constexpr int slotCount = 1024;
constexpr int maxShards = 64;

/// Limits of a customer over all hosts: requests per second, and requests.
struct Limits {
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;

    bool operator==(const Limits&) const = default;
};

/// Limits of one shard: micro-tokens per second, and micro-tokens.
struct ShardLimits {
    MicroTokens rate = 0;
    MicroTokens burst = 0;

    bool operator==(const ShardLimits&) const = default;
};

/// A shard holds at least two requests of burst, so that fractions seldom keep a request waiting.
int shardCount(const Limits& limits);
/// Rounded down: all shards together never exceed the customer's limits.
ShardLimits shardLimits(const Limits& limits);
/// The slot, from 0 to `slotCount` - 1, that contains a shard.
int slotOfShard(std::string_view customer, int shard);

}
