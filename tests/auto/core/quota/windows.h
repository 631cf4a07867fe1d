#pragma once

#include "core/model/time.h"
#include "core/quota/shards.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

struct Spending {
    Model::Time at;
    Quota::MicroTokens amount = 0;
};

/// Checks, in exact arithmetic, that at most burst + rate * t was spent in any window of length t between
/// `from` and `until`. `spendings` must be in order of time.
inline void checkWindows(
    const std::vector<Spending>& spendings, const Quota::Limits& limits, Model::Time from, Model::Time until)
{
    const auto rate = static_cast<Quota::MicroTokens>(limits.rate);
    const auto burst = static_cast<Quota::MicroTokens>(limits.burst) * Quota::tokensPerRequest;
    Quota::MicroTokens spent = 0;
    Quota::MicroTokens lowest = burst;
    for (const auto& [at, amount] : spendings) {
        if (at < from || at >= until)
            continue;
        const Quota::MicroTokens refilled = rate * (at - from).count();
        lowest = std::min(lowest, spent - refilled);
        spent += amount;
        ASSERT_LE(spent - refilled - lowest, burst) << "rate " << limits.rate << " burst " << limits.burst;
    }
}
