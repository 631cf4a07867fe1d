#include "core/quota/slotbuckets.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Quota {

namespace {

    constexpr MicroTokens microsecondsPerSecond = 1'000'000;
    // Keeps the product of elapsed seconds and the rate in micro-tokens within 64 bits.
    constexpr Model::Duration maxRefillPeriod = std::chrono::hours(24);

    ShardLimits lower(const ShardLimits& a, const ShardLimits& b)
    {
        return { std::min(a.rate, b.rate), std::min(a.burst, b.burst) };
    }

    // Removes `amount` tokens from a grant, shard by shard. Calls `release` with each shard's grant and the
    // number of tokens removed from it.
    template <typename ShardGrants, typename Release>
    void consume(ShardGrants& shardGrants, MicroTokens amount, const Release& release)
    {
        for (auto& shardGrant : shardGrants) {
            const MicroTokens taken = std::min(amount, shardGrant.remaining);
            shardGrant.remaining -= taken;
            amount -= taken;
            if (taken > 0)
                release(shardGrant, taken);
        }
    }

}

bool SlotBuckets::GrantId::operator<(const GrantId& other) const
{
    return std::tie(entry, incarnation, sequence) < std::tie(other.entry, other.incarnation, other.sequence);
}

SlotBuckets::SlotBuckets(Model::Time started)
    : m_refillFrom(started + limitsPropagationTime)
{
}

void SlotBuckets::setLimits(const std::string& name, const Limits& limits, Model::Time now)
{
    const LimitsInForce next { shardCount(limits), shardLimits(limits) };
    const auto [found, isNew] = m_customers.try_emplace(name);
    Customer& customer = found->second;
    if (isNew) {
        for (int shard = 0; shard < maxShards; ++shard)
            customer.slots.push_back(slotOfShard(name, shard));
        customer.inForce = next;
    } else {
        bringUpToDate(customer, now);
        LimitsInForce& current = customer.inForce;
        if (customer.pending && customer.pending->limits == next)
            return;
        if (customer.pending || current.shards != next.shards) {
            current = { std::min(current.shards, next.shards), lower(current.limits, next.limits) };
            customer.pending = PendingLimits { next, now + limitsPropagationTime };
        } else {
            current = next;
        }
    }
    updateBuckets(customer, now);
}

void SlotBuckets::removeCustomer(const std::string& customer) { m_customers.erase(customer); }

void SlotBuckets::takeSlot(int slot, Model::Time now)
{
    if (holdsSlot(slot))
        return;
    // Pending limits that are due must come into force first: otherwise the buckets that they add would start
    // to refill before the slot was taken.
    for (auto& [name, customer] : m_customers)
        bringUpToDate(customer, now);
    m_slots.set(static_cast<std::size_t>(slot));
    for (auto& [name, customer] : m_customers)
        updateBuckets(customer, now);
}

void SlotBuckets::removeSlot(int slot)
{
    m_slots.reset(static_cast<std::size_t>(slot));
    for (auto& [name, customer] : m_customers) {
        const std::vector<int>& slots = customer.slots;
        std::erase_if(customer.buckets,
            [&](const auto& entry) { return slots[static_cast<std::size_t>(entry.first)] == slot; });
    }
}

DrawReply SlotBuckets::draw(const EntryHost& entry, const DrawRequest& request, Model::Time now)
{
    DrawReply reply { request.sequence, {} };
    const bool isNew = isNewRequest(entry, request.sequence, now);
    for (const Draw& draw : request.draws) {
        Grant& answer = reply.grants.emplace_back(Grant { draw.customer, 0, false });
        const auto found = m_customers.find(draw.customer);
        if (found == m_customers.end()) {
            answer.notHolder = true;
            continue;
        }
        Customer& customer = found->second;
        bringUpToDate(customer, now);
        for (const GrantReport& report : draw.reports)
            applyReport(customer, { entry.name, entry.incarnation, report.grant }, report);
        answer.notHolder = customer.buckets.empty();
        if (isNew) {
            const GrantId id { entry.name, entry.incarnation, request.sequence };
            answer.granted = grant(customer, id, draw, now);
        }
    }
    return reply;
}

MicroTokens SlotBuckets::available(const std::string& name, Model::Time now)
{
    const auto found = m_customers.find(name);
    if (found == m_customers.end())
        return 0;
    bringUpToDate(found->second, now);
    MicroTokens sum = 0;
    for (const auto& [shard, bucket] : found->second.buckets)
        sum += bucket.available;
    return sum;
}

void SlotBuckets::removeIdleEntryHosts(Model::Time now)
{
    std::erase_if(m_entryHosts, [&](const auto& entry) {
        return now - entry.second.lastRequestAt > 10 * outstandingPeriod(maxGrantValidity);
    });
}

bool SlotBuckets::isNewRequest(const EntryHost& host, std::uint64_t sequence, Model::Time now)
{
    EntryHostState& entry = m_entryHosts[host.name];
    if (host.incarnation < entry.incarnation)
        return false;
    if (host.incarnation > entry.incarnation)
        entry = { host.incarnation, 0, now };
    if (sequence <= entry.lastSequence)
        return false;
    entry.lastSequence = sequence;
    entry.lastRequestAt = now;
    return true;
}

// Applies expiries, refill and pending limits up to `now` in order of time: tokens that expire make room only
// for refill after their expiry.
void SlotBuckets::bringUpToDate(Customer& customer, Model::Time now)
{
    if (customer.pending && customer.pending->at <= now) {
        const PendingLimits pending = *std::exchange(customer.pending, std::nullopt);
        expireAndRefill(customer, pending.at);
        customer.inForce = pending.limits;
        updateBuckets(customer, pending.at);
    }
    expireAndRefill(customer, now);
}

void SlotBuckets::expireAndRefill(Customer& customer, Model::Time now)
{
    while (!customer.expiries.empty() && customer.expiries.begin()->first <= now) {
        const auto expiry = customer.expiries.extract(customer.expiries.begin());
        const auto found = customer.grants.find(expiry.mapped());
        if (found == customer.grants.end())
            continue;
        refill(customer, expiry.key());
        for (const ShardGrant& shardGrant : found->second.shardGrants) {
            const auto bucket = customer.buckets.find(shardGrant.shard);
            if (bucket != customer.buckets.end() && bucket->second.acquisition == shardGrant.acquisition)
                bucket->second.outstanding -= shardGrant.remaining;
        }
        customer.grants.erase(found);
    }
    refill(customer, now);
}

void SlotBuckets::refill(Customer& customer, Model::Time until)
{
    const ShardLimits& limits = customer.inForce.limits;
    for (auto& [shard, bucket] : customer.buckets) {
        if (until <= bucket.refilledAt)
            continue;
        const Model::Duration elapsed = std::min(until - bucket.refilledAt, maxRefillPeriod);
        const MicroTokens seconds = elapsed.count() / microsecondsPerSecond;
        const MicroTokens scaled = elapsed.count() % microsecondsPerSecond * limits.rate + bucket.fraction;
        const MicroTokens room = limits.burst - bucket.outstanding - bucket.available;
        const MicroTokens gained = seconds * limits.rate + scaled / microsecondsPerSecond;
        bucket.fraction = gained < room ? scaled % microsecondsPerSecond : 0;
        bucket.available += std::max<MicroTokens>(std::min(gained, room), 0);
        bucket.refilledAt = until;
    }
}

// Creates and removes buckets to match the held slots and the limits in force, and lowers the available
// tokens to the burst.
void SlotBuckets::updateBuckets(Customer& customer, Model::Time now)
{
    for (int shard = 0; shard < customer.inForce.shards; ++shard) {
        if (!holdsSlot(customer.slots[static_cast<std::size_t>(shard)]) || customer.buckets.contains(shard))
            continue;
        Bucket bucket;
        bucket.refilledAt = std::max(now + maxGrantValidity, m_refillFrom);
        bucket.acquisition = ++m_lastAcquisition;
        customer.buckets.emplace(shard, bucket);
    }
    std::erase_if(
        customer.buckets, [&](const auto& entry) { return entry.first >= customer.inForce.shards; });
    for (auto& [shard, bucket] : customer.buckets) {
        const MicroTokens room = customer.inForce.limits.burst - bucket.outstanding;
        bucket.available = std::clamp<MicroTokens>(room, 0, bucket.available);
    }
}

void SlotBuckets::applyReport(Customer& customer, const GrantId& id, const GrantReport& report)
{
    const auto found = customer.grants.find(id);
    if (found == customer.grants.end())
        return;
    GrantRecord& record = found->second;
    const MicroTokens spent = std::max<MicroTokens>(report.spent - record.spent, 0);
    const MicroTokens returned = std::max<MicroTokens>(report.returned - record.returned, 0);
    record.spent += spent;
    record.returned += returned;
    const auto release = [&](bool isReturn) {
        return [&customer, isReturn](const ShardGrant& shardGrant, MicroTokens amount) {
            const auto bucket = customer.buckets.find(shardGrant.shard);
            if (bucket == customer.buckets.end() || bucket->second.acquisition != shardGrant.acquisition)
                return;
            bucket->second.outstanding -= amount;
            // A lower burst may have come into force since the grant.
            const MicroTokens room = customer.inForce.limits.burst - bucket->second.outstanding;
            if (isReturn)
                bucket->second.available = std::clamp<MicroTokens>(
                    bucket->second.available + amount, 0, std::max<MicroTokens>(room, 0));
        };
    };
    consume(record.shardGrants, spent, release(false));
    consume(record.shardGrants, returned, release(true));
    if (std::ranges::all_of(
            record.shardGrants, [](const ShardGrant& shardGrant) { return shardGrant.remaining == 0; }))
        customer.grants.erase(found);
}

MicroTokens SlotBuckets::grant(Customer& customer, const GrantId& id, const Draw& draw, Model::Time now)
{
    GrantRecord record;
    MicroTokens granted = 0;
    for (auto& [shard, bucket] : customer.buckets) {
        const MicroTokens amount = std::min(draw.wanted - granted, bucket.available);
        if (amount <= 0)
            continue;
        bucket.available -= amount;
        bucket.outstanding += amount;
        granted += amount;
        record.shardGrants.push_back({ shard, bucket.acquisition, amount });
    }
    if (granted > 0) {
        customer.grants.insert_or_assign(id, std::move(record));
        const Model::Duration validity = std::clamp(draw.validity, Model::Duration::zero(), maxGrantValidity);
        customer.expiries.emplace(now + outstandingPeriod(validity), id);
    }
    return granted;
}

}
