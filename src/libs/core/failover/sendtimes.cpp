#include "core/failover/sendtimes.h"

#include <algorithm>

namespace Failover {

namespace {

    /// A receipt for an older message than these is useless.
    constexpr std::size_t maxSentMessages = 128;
    /// Bounds the size of the first messages after the start of a fleet.
    constexpr std::size_t maxReceipts = 16;
    /// The clocks of two hosts differ in rate by at most 1 / clockRateTolerance.
    constexpr int clockRateTolerance = 1000;

}

void SendTimes::sent(std::uint64_t sequence, Model::Time now)
{
    m_sent.push_back({ sequence, now });
    if (m_sent.size() > maxSentMessages)
        m_sent.pop_front();
}

SendTimes::Host& SendTimes::hostOf(const std::string& host, std::uint64_t incarnation)
{
    Host& entry = m_hosts[host];
    if (incarnation > entry.incarnation)
        entry = Host { incarnation };
    return entry;
}

void SendTimes::received(
    const std::string& host, std::uint64_t incarnation, std::uint64_t sequence, Model::Time now)
{
    Host& entry = hostOf(host, incarnation);
    if (incarnation < entry.incarnation || sequence <= entry.lastSequence)
        return;
    entry.lastSequence = sequence;
    entry.lastReceivedAt = now;
}

std::vector<Receipt> SendTimes::takeReceipts()
{
    std::vector<Receipt> result;
    const auto add = [&](const std::string& name, Host& host) {
        host.hasReceipt = true;
        result.push_back({ name, host.incarnation, host.lastSequence, host.lastReceivedAt });
    };
    for (auto& [name, host] : m_hosts) {
        if (!host.hasReceipt && host.lastSequence != 0 && result.size() < maxReceipts)
            add(name, host);
    }
    auto next = m_hosts.upper_bound(m_lastInTurn);
    if (next == m_hosts.end())
        next = m_hosts.begin();
    if (next == m_hosts.end())
        return result;
    m_lastInTurn = next->first;
    const bool isIncluded = std::ranges::find(result, next->first, &Receipt::sender) != result.end();
    if (next->second.lastSequence != 0 && !isIncluded)
        add(next->first, next->second);
    return result;
}

/// The bound, moved to another time of the other host's clock.
Model::Time SendTimes::earliest(const ClockBound& bound, Model::Time theirs)
{
    const Model::Duration elapsed = theirs - bound.theirs;
    return bound.ours + elapsed - std::chrono::abs(elapsed) / clockRateTolerance;
}

void SendTimes::receiptArrived(const std::string& host, std::uint64_t incarnation, const Receipt& receipt)
{
    if (receipt.incarnation != m_incarnation)
        return;
    const auto sent = std::ranges::lower_bound(m_sent, receipt.sequence, {}, &SentMessage::sequence);
    if (sent == m_sent.end() || sent->sequence != receipt.sequence)
        return;
    Host& entry = hostOf(host, incarnation);
    if (incarnation < entry.incarnation)
        return;
    const ClockBound bound { receipt.receivedAt, sent->at };
    if (!entry.bound || earliest(*entry.bound, bound.theirs) < bound.ours)
        entry.bound = bound;
}

std::optional<Model::Time> SendTimes::notSentBefore(
    const std::string& host, std::uint64_t incarnation, Model::Time sentAt) const
{
    const auto entry = m_hosts.find(host);
    if (entry == m_hosts.end() || entry->second.incarnation != incarnation || !entry->second.bound)
        return std::nullopt;
    return earliest(*entry->second.bound, sentAt);
}

}
