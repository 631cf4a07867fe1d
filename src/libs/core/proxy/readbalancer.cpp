#include "core/proxy/readbalancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace Proxy {

namespace {

    /// Added to the expected time of a read on the primary, so that the primary stays free for writes, which
    /// no other upstream can run.
    constexpr Model::Duration primaryCost = std::chrono::milliseconds(25);
    /// An upstream that takes longer than the best one by this factor is not used only because it has an idle
    /// connection.
    constexpr int maxRatio = 3;
    /// A probe that has not been sent within this time is abandoned; the request may then use any upstream.
    constexpr Model::Duration probeTime = std::chrono::milliseconds(100);
    /// A request that has waited for this part of its target latency may leave the zone.
    constexpr int waitDivisor = 10;
    /// Shorter times are not distinguished: they would vary too much.
    constexpr double minSeconds = 0.001;

    double seconds(Model::Duration duration) { return std::chrono::duration<double>(duration).count(); }

    std::string milliseconds(Model::Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

    /// Returns a number from 0 to 1 that is always the same for one attempt of a request (SplitMix64).
    double drawOf(const Session& session, const Request& request, std::uint64_t salt)
    {
        std::uint64_t value = session.id * 0x9e3779b97f4a7c15U
            + static_cast<std::uint64_t>(request.arrivedAt.time_since_epoch().count())
            + static_cast<std::uint64_t>(request.attempts) * 0xd1b54a32d192ed03U + salt;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        value ^= value >> 31U;
        return (static_cast<double>(value >> 11U) + 0.5) / static_cast<double>(1ULL << 53U);
    }

}

ReadBalancer::ReadBalancer(std::string zone, ChangeHook changed)
    : m_zone(std::move(zone))
    , m_changed(std::move(changed))
{
}

ReadBalancer::Entry& ReadBalancer::entryOf(const Directory::Upstream& upstream, Model::Time now)
{
    const auto found = m_entries.find(upstream.id);
    if (found != m_entries.end() && found->second.startedAt == upstream.startedAt)
        return found->second;
    Entry entry { upstream.service, upstream.startedAt, UpstreamLoad(now), 0, {} };
    return m_entries.insert_or_assign(upstream.id, std::move(entry)).first->second;
}

void ReadBalancer::rank(
    std::vector<ReadOption>& options, const Session& session, const Request& request, Model::Time now)
{
    const Model::Duration target = session.route->targetLatency;
    for (ReadOption& option : options) {
        option.load = &entryOf(*option.upstream, now).load;
        option.expected = option.delay
            + option.load->expectedTime(option.inUse, option.upstream->slots, target, now)
            + (option.isPrimary ? primaryCost : Model::Duration {});
    }
    if (takeProbe(options, session, request, now))
        return;
    const auto isUsable
        = [](const ReadOption& option) { return !option.isUnreachable && !option.load->isSetAside(); };
    if (std::ranges::any_of(options, isUsable))
        std::erase_if(options, [&](const ReadOption& option) { return !isUsable(option); });
    if (options.empty())
        return;
    const Model::Duration age = now - request.arrivedAt;
    const bool isAway = leavesZone(options, session, request, now);
    const bool mayMix
        = request.attempts > 1 || (age > target / waitDivisor && shareLeaving(session.route->service) > 0);
    // The primary belongs to no zone here: its cost keeps it out unless the replicas are slow.
    const auto isLeftOut = [&](const ReadOption& option) {
        return !option.isPrimary && (option.upstream->zone != m_zone) != isAway;
    };
    const bool hasOther = std::ranges::any_of(
        options, [&](const ReadOption& option) { return !option.isPrimary && !isLeftOut(option); });
    if (hasOther && !mayMix)
        std::erase_if(options, isLeftOut);
    const Model::Duration best = std::ranges::min_element(options, {}, &ReadOption::expected)->expected;
    // Weighted random order: the upstream with the lowest key is the first with a probability in proportion
    // to its weight.
    for (ReadOption& option : options) {
        const double time = std::max(minSeconds, seconds(option.expected));
        const double draw = drawOf(session, request, std::hash<std::string> {}(option.upstream->id));
        option.key = -std::log(draw) * time * time / option.load->share(now);
        // An upstream that did not run the request comes last.
        if (request.attempts > 0 && option.upstream->id == request.upstream)
            option.key = std::numeric_limits<double>::infinity();
    }
    std::ranges::sort(options, {}, &ReadOption::key);
    // The limits grow with the age of the request, so that one that has waited accepts the primary or a
    // slower upstream. The first choice is kept in any case unless it is the primary.
    const Model::Duration limit = best * maxRatio + age;
    const auto isTooSlow = [&](const ReadOption& option) {
        return option.isPrimary ? option.expected > best + age : option.expected > limit;
    };
    const ReadOption first = options.front();
    std::erase_if(options, isTooSlow);
    if (!first.isPrimary && isTooSlow(first))
        options.insert(options.begin(), first);
}

/// Returns whether the request is the probe of an upstream that would get few reads otherwise. Only that
/// upstream is then left, until the probe has been sent or its time has passed.
bool ReadBalancer::takeProbe(
    std::vector<ReadOption>& options, const Session& session, const Request& request, Model::Time now)
{
    // The failure of a statement would end a transaction.
    if (options.size() < 2 || request.attempts > 0 || session.state == TransactionState::Open)
        return false;
    const bool isLeaving = shareLeaving(session.route->service) > 0;
    for (const ReadOption& option : options) {
        const bool isSlow = isLeaving && option.upstream->zone == m_zone && !option.isPrimary;
        if (option.isUnreachable || (!option.load->isSetAside() && !isSlow))
            continue;
        Entry& entry = m_entries.at(option.upstream->id);
        const bool isCurrent = now < entry.probeUntil;
        if (!isCurrent && !entry.load.isProbeDue(now))
            continue;
        if (!isCurrent) {
            entry.probeSession = session.id;
            entry.probeUntil = now + probeTime;
            // If the probe gets no connection, the next one follows after a period.
            entry.load.sent(now);
        }
        if (entry.probeSession != session.id)
            continue;
        options = { ReadOption(option) };
        return true;
    }
    return false;
}

/// Returns whether the request should use upstreams of other zones.
bool ReadBalancer::leavesZone(
    const std::vector<ReadOption>& options, const Session& session, const Request& request, Model::Time now)
{
    const ReadOption* here = nullptr;
    const ReadOption* there = nullptr;
    // Both sides are compared by their mean: of several upstreams with equal load, the best one seems better
    // than a single one.
    std::array<Model::Duration, 2> sums {};
    std::array<int, 2> counts {};
    for (const ReadOption& option : options) {
        if (option.isPrimary)
            continue;
        const bool isHere = option.upstream->zone == m_zone;
        const ReadOption*& best = isHere ? here : there;
        if (!best || option.expected < best->expected)
            best = &option;
        sums.at(isHere ? 0 : 1) += option.expected - option.delay;
        ++counts.at(isHere ? 0 : 1);
    }
    if (!here || !there)
        return !here;
    ZoneEntry& zone = m_zones[session.route->service];
    zone.target = std::min(zone.target.value_or(session.route->targetLatency), session.route->targetLatency);
    if (zone.choice.isDue(now))
        updateZone(
            session.route->service, zone, *here, *there, sums[0] / counts[0], sums[1] / counts[1], now);
    // An upstream that has just started gets its share although it is the only one of the zone.
    const double share = std::max(zone.choice.share(), 1 - here->load->share(now) / there->load->share(now));
    const bool isLeaving = drawOf(session, request, 0) < share;
    Model::Duration& wait = isLeaving ? zone.waitThere : zone.waitHere;
    wait = std::max(wait, now - request.arrivedAt);
    return isLeaving;
}

void ReadBalancer::updateZone(const std::string& service, ZoneEntry& zone, const ReadOption& here,
    const ReadOption& there, Model::Duration timeHere, Model::Duration timeThere, Model::Time now) const
{
    // The mean wait is about half of the longest one.
    const ZoneTimes times { timeHere + zone.waitHere / 2, timeThere + zone.waitThere / 2,
        there.load->roundTrip() - here.load->roundTrip(), *zone.target, here.load->busyRatio(now) };
    zone.waitHere = {};
    zone.waitThere = {};
    zone.target.reset();
    const ZoneChange change = zone.choice.update(times, now);
    if (change == ZoneChange::None || !m_changed)
        return;
    m_changed(change == ZoneChange::Left ? BalanceChange::ZoneLeft : BalanceChange::ZoneReturned, service,
        "hereMs=" + milliseconds(times.here) + " thereMs=" + milliseconds(times.there) + " roundTripMs="
            + milliseconds(times.roundTrip) + " targetMs=" + milliseconds(times.target) + " busyHere="
            + std::to_string(times.busyHere) + " here=" + here.upstream->id + " there=" + there.upstream->id);
}

void ReadBalancer::sent(const std::string& upstream, Model::Time now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end())
        return;
    found->second.load.sent(now);
    found->second.probeUntil = now;
}

double ReadBalancer::otherFailureRatio(const Directory::Upstream& upstream) const
{
    double lowest = 1;
    for (const auto& [id, entry] : m_entries) {
        if (id != upstream.id && entry.service == upstream.service)
            lowest = std::min(lowest, entry.load.failureRatio());
    }
    return lowest;
}

void ReadBalancer::answered(
    const Directory::Upstream& upstream, ResultCode code, Model::Time sentAt, Model::Time now)
{
    UpstreamLoad& load = entryOf(upstream, now).load;
    const double other = code == ResultCode::Failed ? otherFailureRatio(upstream) : 0;
    report(load.answered(code, other, sentAt, now), upstream, load);
}

void ReadBalancer::lost(const Directory::Upstream& upstream, Model::Time now)
{
    UpstreamLoad& load = entryOf(upstream, now).load;
    report(load.lost(otherFailureRatio(upstream), now), upstream, load);
}

void ReadBalancer::observeRoundTrip(const std::string& upstream, Model::Duration time, Model::Time now)
{
    const auto found = m_entries.find(upstream);
    if (found != m_entries.end())
        found->second.load.observeRoundTrip(time, now);
}

void ReadBalancer::report(
    LoadChange change, const Directory::Upstream& upstream, const UpstreamLoad& load) const
{
    if (change == LoadChange::None || !m_changed)
        return;
    m_changed(change == LoadChange::SetAside ? BalanceChange::SetAside : BalanceChange::TakenBack,
        upstream.id, "service=" + upstream.service + " failureRatio=" + std::to_string(load.failureRatio()));
}

void ReadBalancer::retain(const std::function<bool(const std::string& upstream)>& exists)
{
    std::erase_if(m_entries, [&](const auto& entry) { return !exists(entry.first); });
}

const UpstreamLoad* ReadBalancer::load(const std::string& upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second.load;
}

double ReadBalancer::shareLeaving(const std::string& service) const
{
    const auto found = m_zones.find(service);
    return found == m_zones.end() ? 0 : found->second.choice.share();
}

}
