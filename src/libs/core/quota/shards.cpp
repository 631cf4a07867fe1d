#include "core/quota/shards.h"

#include "core/model/rendezvous.h"

#include <algorithm>

namespace Quota {

namespace {

    // Keeps the product of the rate in micro-tokens and the microseconds of a second within 64 bits.
    constexpr std::uint64_t maxRequests = 8'000'000;

    MicroTokens perShard(std::uint64_t requests, int shards)
    {
        return static_cast<MicroTokens>(std::min(requests, maxRequests)) * tokensPerRequest / shards;
    }

}

int shardCount(const Limits& limits)
{
    return static_cast<int>(std::clamp<std::uint64_t>(limits.burst / 2, 1, maxShards));
}

ShardLimits shardLimits(const Limits& limits)
{
    const int shards = shardCount(limits);
    return { perShard(limits.rate, shards), perShard(limits.burst, shards) };
}

int slotOfShard(std::string_view customer, int shard)
{
    return static_cast<int>(Model::stableHash(customer, static_cast<std::uint64_t>(shard)) % slotCount);
}

}
