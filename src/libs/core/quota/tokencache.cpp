#include "core/quota/tokencache.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Quota {

namespace {

    using std::chrono::milliseconds;

    constexpr double microsecondsPerSecond = 1e6;
    // Time constant of the demand's smoothing: a shorter one follows bursts faster, a longer one wastes fewer
    // tokens.
    constexpr Model::Duration demandPeriod = milliseconds(500);
    // Bounds of the time that a batch of tokens should cover. Longer batches save messages, but hold more
    // tokens where they may not be needed.
    constexpr Model::Duration maxBatchDuration = milliseconds(700);
    constexpr Model::Duration minBatchDuration = milliseconds(50);
    // The next batch is drawn when the remaining tokens cover only this time, which suffices for several
    // draws in a row that are granted little.
    constexpr Model::Duration drawAhead = milliseconds(60);
    // After this time without a reply, the tokens of a draw are not expected any more. Exceeds the round-trip
    // time between regions. A later reply still counts.
    constexpr Model::Duration replyTimeout = milliseconds(40);
    // Unused tokens are returned this long before they expire, so that the report arrives in time.
    constexpr Model::Duration returnAhead = milliseconds(200);
    // Validity of a batch beyond the time that it should cover, for batches that are spent more slowly than
    // expected.
    constexpr Model::Duration validityReserve = milliseconds(300);
    // Validity of tokens for waiting requests only, which are spent at once.
    constexpr Model::Duration shortValidity = milliseconds(200);
    // A host with a larger share of a customer's rate draws shorter batches, because it empties the buckets.
    // One with a smaller share draws longer ones, because there are many such hosts and each sends messages.
    constexpr double largeShare = 1.0 / 4;
    constexpr double smallShare = 1.0 / 64;
    // If fewer requests than this are expected in a batch, its tokens would mostly expire unused: then each
    // request waits for a draw of its own.
    constexpr double minBatch = 2;
    // Base of the exponential back-off from a holder that granted less than requested or did not reply, and
    // its maximum for one that did not reply.
    constexpr Model::Duration minBackOff = milliseconds(10);
    constexpr Model::Duration maxBackOff = milliseconds(2000);
    constexpr int maxShortfalls = 8;

    double seconds(Model::Duration duration)
    {
        return static_cast<double>(duration.count()) / microsecondsPerSecond;
    }

    MicroTokens tokens(double requests)
    {
        return static_cast<MicroTokens>(requests * static_cast<double>(tokensPerRequest));
    }

}

TokenCache::TokenCache(std::string self)
    : m_self(std::move(self))
{
}

void TokenCache::setLimits(const std::string& name, const Limits& limits)
{
    Customer& customer = m_customers[name];
    customer.limits = limits;
    updateSources(customer, name);
}

void TokenCache::removeCustomer(const std::string& customer) { m_customers.erase(customer); }

void TokenCache::setHolders(std::span<const std::string> holders)
{
    m_holders.assign(holders.begin(), holders.end());
    for (auto& [name, customer] : m_customers)
        updateSources(customer, name);
}

Admission TokenCache::admit(const std::string& name, Attempt attempt, Model::Time now)
{
    const auto found = m_customers.find(name);
    if (found == m_customers.end())
        return Admission::UnknownCustomer;
    Customer& customer = found->second;
    if (attempt == Attempt::First)
        countDemand(customer, now);
    if (localTokens(customer, now) < tokensPerRequest) {
        if (attempt == Attempt::First)
            ++customer.waiting;
        return Admission::Wait;
    }
    MicroTokens due = tokensPerRequest;
    for (LocalGrant& grant : customer.grants) {
        if (now >= grant.expiresAt)
            continue;
        const MicroTokens taken = std::min(due, grant.remaining);
        grant.remaining -= taken;
        grant.spent += taken;
        due -= taken;
    }
    if (attempt == Attempt::Retry && customer.waiting > 0)
        --customer.waiting;
    return Admission::Admitted;
}

void TokenCache::cancelWait(const std::string& name)
{
    const auto found = m_customers.find(name);
    if (found != m_customers.end() && found->second.waiting > 0)
        --found->second.waiting;
}

std::vector<OutgoingDraw> TokenCache::plan(Model::Time now, std::mt19937_64& generator)
{
    Requests requests;
    for (auto& [name, customer] : m_customers) {
        removeExpired(customer, now);
        planReturns(customer, name, now, requests);
        planDraws(customer, name, now, generator, requests);
    }
    piggybackDraws(now, requests);
    return finishRequests(requests, now);
}

TokenCache::ReplyEffect TokenCache::reply(const std::string& holder, const DrawReply& reply, Model::Time now)
{
    ReplyEffect effect = ReplyEffect::None;
    for (const Grant& answer : reply.grants) {
        const auto found = m_customers.find(answer.customer);
        if (found == m_customers.end())
            continue;
        Customer& customer = found->second;
        const auto pending = std::ranges::find_if(customer.inFlight,
            [&](const InFlight& draw) { return draw.sequence == reply.sequence && draw.holder == holder; });
        if (pending == customer.inFlight.end())
            continue;
        const InFlight draw = std::move(*pending);
        customer.inFlight.erase(pending);
        if (answer.granted < draw.wanted) {
            // For the own buckets, the back-off lasts just long enough to draw from other holders.
            backOffSource(
                customer, holder, holder == m_self ? planInterval : batchDuration(customer, now), now);
            effect = ReplyEffect::PlanNow;
        } else {
            resetBackOff(customer, holder);
        }
        if (answer.granted <= 0 || now >= draw.sentAt + draw.validity)
            continue;
        const Model::Time expiresAt = draw.sentAt + draw.validity;
        const auto after = std::ranges::find_if(
            customer.grants, [&](const LocalGrant& grant) { return grant.expiresAt > expiresAt; });
        customer.grants.insert(
            after, LocalGrant { holder, draw.sequence, expiresAt, expiresAt - returnAhead, answer.granted });
    }
    return effect;
}

std::vector<OutgoingDraw> TokenCache::returnAll(Model::Time now)
{
    Requests requests;
    for (auto& [name, customer] : m_customers) {
        customer.inFlight.clear();
        for (LocalGrant& grant : customer.grants) {
            grant.returned += std::exchange(grant.remaining, 0);
            requests[grant.holder][name].customer = name;
        }
    }
    return finishRequests(requests, now);
}

MicroTokens TokenCache::localTokens(const std::string& name, Model::Time now) const
{
    const auto found = m_customers.find(name);
    return found == m_customers.end() ? 0 : localTokens(found->second, now);
}

void TokenCache::countDemand(Customer& customer, Model::Time now)
{
    customer.demand = demandAt(customer, now) + 1 / seconds(demandPeriod);
    customer.demandAt = now;
}

double TokenCache::demandAt(const Customer& customer, Model::Time now)
{
    return customer.demand * std::exp(-seconds(now - customer.demandAt) / seconds(demandPeriod));
}

// Returns the time that a batch should cover. Spent tokens that are not yet reported occupy room in the
// holder's bucket. If the burst is small compared to the rate, batches must be shorter, or the bucket would
// stop refilling.
Model::Duration TokenCache::batchDuration(const Customer& customer, Model::Time now)
{
    const Limits& limits = customer.limits;
    const double demand = demandAt(customer, now);
    const auto rate = static_cast<double>(limits.rate);
    const double divisor = demand > rate * largeShare ? 4 : demand > rate * smallShare ? 3 : 2;
    const double fillTime = static_cast<double>(limits.burst)
        / static_cast<double>(std::max<std::uint64_t>(limits.rate, 1)) * microsecondsPerSecond;
    const double duration = std::min(fillTime / divisor, static_cast<double>(maxBatchDuration.count()));
    return std::max(Model::Duration(static_cast<Model::Duration::rep>(duration)), minBatchDuration);
}

MicroTokens TokenCache::localTokens(const Customer& customer, Model::Time now)
{
    MicroTokens sum = 0;
    for (const LocalGrant& grant : customer.grants) {
        if (now < grant.expiresAt)
            sum += grant.remaining;
    }
    return sum;
}

MicroTokens TokenCache::expectedTokens(const Customer& customer, Model::Time now)
{
    MicroTokens sum = localTokens(customer, now);
    for (const InFlight& draw : customer.inFlight) {
        if (!draw.isOverdue)
            sum += draw.wanted;
    }
    return sum;
}

// Tokens are drawn while fewer than this are expected. At a demand so low that tokens would mostly expire
// unused, only waiting requests count.
MicroTokens TokenCache::lowWatermark(const Customer& customer, Model::Time now)
{
    const double demand = demandAt(customer, now);
    const Model::Duration period = batchDuration(customer, now);
    const auto waiting = static_cast<MicroTokens>(customer.waiting) * tokensPerRequest;
    if (demand * seconds(period) < minBatch)
        return waiting;
    return waiting + std::max(tokens(demand * seconds(std::min(drawAhead, period / 4))), tokensPerRequest);
}

MicroTokens TokenCache::wantedTokens(const Customer& customer, Model::Time now)
{
    const double demand = std::min(demandAt(customer, now), static_cast<double>(customer.limits.rate));
    const double batch = demand * seconds(batchDuration(customer, now));
    const std::size_t waiting = std::min<std::size_t>(customer.waiting, customer.limits.burst);
    const MicroTokens target
        = static_cast<MicroTokens>(waiting) * tokensPerRequest + (batch < minBatch ? 0 : tokens(batch));
    return target - expectedTokens(customer, now);
}

bool TokenCache::mayDraw(const Customer& customer, const std::string& holder, Model::Time now)
{
    return now >= customer.sources.at(holder).backOffUntil
        && std::ranges::none_of(customer.inFlight,
            [&](const InFlight& draw) { return draw.holder == holder && !draw.isOverdue; });
}

Model::Duration TokenCache::validity(const Customer& customer, Model::Time now)
{
    const Model::Duration period = batchDuration(customer, now);
    if (demandAt(customer, now) * seconds(period) < minBatch)
        return shortValidity;
    return std::min(period + validityReserve, maxGrantValidity);
}

// The maximum number of tokens to draw from a holder: the burst of all its shards if requests wait, otherwise
// twice its refill during a batch, so that a host with a large share of the customer's traffic draws from
// several holders at once.
MicroTokens TokenCache::maxDrawAmount(const Customer& customer, const std::string& holder, Model::Time now)
{
    const ShardLimits limits = shardLimits(customer.limits);
    const int shards = customer.sources.at(holder).shards;
    if (customer.waiting > 0)
        return limits.burst * shards;
    const double refill = static_cast<double>(limits.rate * shards) * seconds(batchDuration(customer, now));
    return std::clamp(static_cast<MicroTokens>(2 * refill), tokensPerRequest, limits.burst * shards);
}

// Exponential back-off from a holder, up to `longest`: the duration of a batch for a holder that granted too
// little, `maxBackOff` for one that did not reply.
void TokenCache::backOffSource(
    Customer& customer, const std::string& holder, Model::Duration longest, Model::Time now)
{
    const auto found = customer.sources.find(holder);
    if (found == customer.sources.end())
        return;
    Source& source = found->second;
    source.shortfalls = std::min(source.shortfalls + 1, maxShortfalls);
    source.backOffUntil = now + std::min(minBackOff * (1 << source.shortfalls), longest);
}

void TokenCache::resetBackOff(Customer& customer, const std::string& holder)
{
    const auto found = customer.sources.find(holder);
    if (found == customer.sources.end())
        return;
    found->second.shortfalls = 0;
    found->second.backOffUntil = {};
}

void TokenCache::updateSources(Customer& customer, const std::string& name) const
{
    std::unordered_map<std::string, Source> sources;
    if (!m_holders.empty()) {
        for (int shard = 0; shard < shardCount(customer.limits); ++shard) {
            const std::string& holder = m_holders[static_cast<std::size_t>(slotOfShard(name, shard))];
            if (!holder.empty())
                ++sources[holder].shards;
        }
    }
    customer.order.clear();
    for (auto& [holder, source] : sources) {
        const auto known = customer.sources.find(holder);
        if (known != customer.sources.end())
            source = { source.shards, known->second.shortfalls, known->second.backOffUntil };
        customer.order.push_back(holder);
    }
    std::ranges::sort(customer.order);
    customer.sources = std::move(sources);
}

void TokenCache::removeExpired(Customer& customer, Model::Time now)
{
    std::erase_if(customer.grants,
        [&](const LocalGrant& grant) { return now >= grant.expiresAt + maxGrantValidity / 2; });
    std::erase_if(
        customer.inFlight, [&](const InFlight& draw) { return now >= draw.sentAt + draw.validity; });
    for (InFlight& draw : customer.inFlight) {
        if (draw.isOverdue || now - draw.sentAt < replyTimeout)
            continue;
        draw.isOverdue = true;
        backOffSource(customer, draw.holder, maxBackOff, now);
    }
}

void TokenCache::planDraws(Customer& customer, const std::string& name, Model::Time now,
    std::mt19937_64& generator, Requests& requests)
{
    if (customer.order.empty() || expectedTokens(customer, now) >= lowWatermark(customer, now))
        return;
    MicroTokens wanted = wantedTokens(customer, now);
    if (customer.next >= customer.order.size())
        customer.next = generator() % customer.order.size();
    if (customer.sources.contains(m_self))
        addDraw(customer, name, m_self, wanted, now, requests);
    // Requests to these holders are sent anyway, for other customers.
    for (const auto& [holder, draws] : requests) {
        if (customer.sources.contains(holder))
            addDraw(customer, name, holder, wanted, now, requests);
    }
    for (std::size_t tried = 0; tried < customer.order.size() && wanted > 0; ++tried) {
        addDraw(customer, name, customer.order[customer.next], wanted, now, requests);
        if (wanted > 0)
            customer.next = (customer.next + 1) % customer.order.size();
    }
}

void TokenCache::addDraw(Customer& customer, const std::string& name, const std::string& holder,
    MicroTokens& wanted, Model::Time now, Requests& requests)
{
    if (wanted <= 0 || !mayDraw(customer, holder, now))
        return;
    Draw& draw = requests[holder][name];
    if (draw.wanted > 0)
        return;
    const MicroTokens amount = std::min(wanted, maxDrawAmount(customer, holder, now));
    draw.customer = name;
    draw.wanted = amount;
    draw.validity = validity(customer, now);
    wanted -= amount;
}

// Adds draws of customers that would soon draw anyway to the messages that are about to be sent, as a message
// costs more than a draw in it.
void TokenCache::piggybackDraws(Model::Time now, Requests& requests)
{
    for (auto& [holder, draws] : requests) {
        for (auto& [name, customer] : m_customers) {
            if (draws.contains(name) || !customer.sources.contains(holder) || !mayDraw(customer, holder, now))
                continue;
            const MicroTokens wanted = wantedTokens(customer, now);
            const MicroTokens expected = expectedTokens(customer, now);
            if (wanted >= tokensPerRequest / 2 && wanted >= expected)
                draws.emplace(name, Draw { name, wanted, validity(customer, now), {} });
        }
    }
}

void TokenCache::planReturns(Customer& customer, const std::string& name, Model::Time now, Requests& requests)
{
    for (LocalGrant& grant : customer.grants) {
        if (now < grant.returnsAt || grant.remaining == 0)
            continue;
        const Model::Duration left = std::max(grant.expiresAt - now, Model::Duration::zero());
        const MicroTokens useful = tokens(demandAt(customer, now) * seconds(left));
        const MicroTokens surplus = std::max<MicroTokens>(grant.remaining - useful, 0);
        if (surplus < tokensPerRequest / 10)
            continue;
        grant.remaining -= surplus;
        grant.returned += surplus;
        requests[grant.holder][name].customer = name;
    }
}

void TokenCache::addReports(Customer& customer, const std::string& holder, Draw& draw, Model::Time now)
{
    for (auto grant = customer.grants.begin(); grant != customer.grants.end();) {
        const auto current = grant++;
        if (current->holder != holder || current->spent + current->returned == current->reported)
            continue;
        draw.reports.push_back({ current->sequence, current->spent, current->returned });
        current->reported = current->spent + current->returned;
        if (current->remaining == 0 || now >= current->expiresAt)
            customer.grants.erase(current);
    }
}

std::vector<OutgoingDraw> TokenCache::finishRequests(Requests& requests, Model::Time now)
{
    std::vector<OutgoingDraw> result;
    result.reserve(requests.size());
    for (auto& [holder, draws] : requests) {
        // A message that is sent anyway also carries the reports of all other customers, at little extra
        // cost.
        for (auto& [name, customer] : m_customers) {
            Draw reportOnly { name, 0, maxGrantValidity, {} };
            Draw& draw = draws.contains(name) ? draws.at(name) : reportOnly;
            addReports(customer, holder, draw, now);
            if (!reportOnly.reports.empty())
                draws.emplace(name, std::move(reportOnly));
        }
        OutgoingDraw& out = result.emplace_back(OutgoingDraw { holder, { ++m_lastSequence, {} } });
        for (auto& [name, draw] : draws) {
            if (draw.wanted > 0)
                m_customers.at(name).inFlight.push_back(
                    { holder, m_lastSequence, now, draw.validity, draw.wanted });
            out.request.draws.push_back(std::move(draw));
        }
    }
    return result;
}

}
