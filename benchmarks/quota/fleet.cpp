#include "fleet.h"

#include <algorithm>
#include <utility>

namespace QuotaSimulation {

namespace {

    using std::chrono::milliseconds;

    // Bytes per message: ZeroMQ and CURVE framing 33 + 9, TCP and IPv4 headers with time stamps 52, routing
    // frame 9.
    constexpr std::uint64_t transportOverhead = 103;
    // Bytes of the envelope: request number, reply flag, sender name, incarnation, tag and length of the
    // body.
    constexpr std::uint64_t envelopeOverhead = 5 + 2 + 10 + 9 + 3;

    std::uint64_t varintSize(std::uint64_t value)
    {
        std::uint64_t size = 1;
        for (; value >= 128; value >>= 7)
            ++size;
        return size;
    }

    std::uint64_t fieldSize(Quota::MicroTokens value)
    {
        return value == 0 ? 0 : 1 + varintSize(static_cast<std::uint64_t>(value));
    }

    std::uint64_t nestedSize(std::uint64_t size) { return 1 + varintSize(size) + size; }

    // The size of a message body in the protobuf encoding, in bytes.
    std::uint64_t encodedSize(const Quota::DrawRequest& request)
    {
        std::uint64_t size = 1 + varintSize(request.sequence);
        for (const Quota::Draw& draw : request.draws) {
            std::uint64_t drawSize = nestedSize(draw.customer.size()) + fieldSize(draw.wanted)
                + fieldSize(draw.validity / milliseconds(1));
            for (const Quota::GrantReport& report : draw.reports) {
                drawSize += nestedSize(
                    1 + varintSize(report.grant) + fieldSize(report.spent) + fieldSize(report.returned));
            }
            size += nestedSize(drawSize);
        }
        return size;
    }

    std::uint64_t encodedSize(const Quota::DrawReply& reply)
    {
        std::uint64_t size = 1 + varintSize(reply.sequence);
        for (const Quota::Grant& grant : reply.grants)
            size += nestedSize(
                nestedSize(grant.customer.size()) + fieldSize(grant.granted) + (grant.notHolder ? 2 : 0));
        return size;
    }

}

Bucket::Bucket(Quota::Limits limits, double share)
    : m_rate(static_cast<double>(limits.rate) * share / 1e6)
    , m_burst(static_cast<double>(limits.burst) * share)
    , m_level(m_burst)
{
}

bool Bucket::admit(Model::Time now)
{
    m_level = std::min(m_burst, m_level + m_rate * static_cast<double>((now - m_refilledAt).count()));
    m_refilledAt = now;
    if (m_level < 1)
        return false;
    m_level -= 1;
    return true;
}

Fleet::Fleet(const FleetSettings& settings)
    : m_settings(settings)
    , m_generator(settings.seed)
    , m_hosts(static_cast<std::size_t>(settings.hosts))
    , m_holders(Quota::slotCount, -1)
{
    for (int i = 0; i < settings.hosts; ++i) {
        host(i).name = "host" + std::to_string(i);
        host(i).cache = Quota::TokenCache(host(i).name);
        host(i).clockOffset = std::chrono::seconds(m_generator() % 1000);
        host(i).nextPlan = m_now + Model::Duration(m_generator() % 20'000);
    }
    takeOver();
}

void Fleet::setLimits(int index, const std::string& customer, const Quota::Limits& limits)
{
    host(index).buckets.setLimits(customer, limits, localTime(host(index)));
    host(index).cache.setLimits(customer, limits);
    if (m_limits[customer] == limits)
        return;
    m_limits[customer] = limits;
    m_idealBuckets.insert_or_assign(customer, Bucket(limits));
}

void Fleet::setLimits(const std::string& customer, const Quota::Limits& limits)
{
    for (int i = 0; i < m_settings.hosts; ++i)
        setLimits(i, customer, limits);
}

void Fleet::advance(Model::Duration step)
{
    m_now += step;
    while (!m_messages.empty() && m_messages.top().at <= m_now) {
        Message message = m_messages.top();
        m_messages.pop();
        deliver(std::move(message));
    }
    for (int i = 0; i < m_settings.hosts; ++i) {
        Host& current = host(i);
        if (!isRunning(current))
            continue;
        retryWaiting(current);
        if (m_now >= current.nextPlan || !current.waiting.empty())
            plan(i);
    }
}

void Fleet::request(int index, const std::string& customer)
{
    Host& entry = host(index);
    if (!isRunning(entry))
        return;
    const bool isWithinLimits = m_idealBuckets.at(customer).admit(m_now);
    const auto attempt = Quota::TokenCache::Attempt::First;
    if (entry.cache.admit(customer, attempt, localTime(entry)) == Quota::Admission::Admitted) {
        admitted(customer);
        return;
    }
    entry.waiting.push_back({ customer, m_now, isWithinLimits });
}

void Fleet::pause(int index, Model::Duration period) { host(index).pausedUntil = m_now + period; }

void Fleet::kill(int index)
{
    host(index).isAlive = false;
    host(index).waiting.clear();
}

void Fleet::start(int index)
{
    Host& started = host(index);
    started.isAlive = true;
    ++started.incarnation;
    started.cache = Quota::TokenCache(started.name);
    started.buckets = Quota::SlotBuckets(localTime(started));
    for (const auto& [customer, limits] : m_limits)
        setLimits(index, customer, limits);
    // The new incarnation shows that the previous process has ended, so its slots have no holder.
    std::ranges::replace(m_holders, index, -1);
    publishHolders();
}

void Fleet::takeOver()
{
    std::vector<int> live;
    for (int i = 0; i < m_settings.hosts; ++i) {
        if (host(i).isAlive)
            live.push_back(i);
    }
    for (int slot = 0; slot < Quota::slotCount && !live.empty(); ++slot) {
        int& holder = m_holders[static_cast<std::size_t>(slot)];
        if (holder >= 0 && isAlive(holder) && host(holder).buckets.holdsSlot(slot))
            continue;
        holder = live[m_generator() % live.size()];
        host(holder).buckets.takeSlot(slot, localTime(host(holder)));
    }
    publishHolders();
}

void Fleet::moveSlots(int stride)
{
    const int next = static_cast<int>(m_generator() % m_hosts.size());
    if (!isRunning(host(next)))
        return;
    for (int slot = 0; slot < Quota::slotCount; slot += stride) {
        int& holder = m_holders[static_cast<std::size_t>(slot)];
        if (holder < 0 || !isRunning(host(holder)))
            continue;
        host(holder).buckets.removeSlot(slot);
        host(next).buckets.takeSlot(slot, localTime(host(next)));
        holder = next;
    }
    publishHolders();
}

Quota::MicroTokens Fleet::available(const std::string& customer)
{
    Quota::MicroTokens sum = 0;
    for (Host& current : m_hosts)
        sum += current.isAlive ? current.buckets.available(customer, localTime(current)) : 0;
    return sum;
}

void Fleet::send(Message message)
{
    const std::uint64_t payload
        = envelopeOverhead + (message.isReply ? encodedSize(message.reply) : encodedSize(message.request));
    ++m_counters.messages;
    m_counters.payloadBytes += payload;
    m_counters.wireBytes += payload + transportOverhead;
    const auto isOneOf = [&](std::uint64_t permille) { return m_generator() % 1000 < permille; };
    message.order = ++m_lastOrder;
    message.at = m_now + m_settings.delay;
    if (isOneOf(m_settings.latePermille))
        message.at += milliseconds(m_generator() % 3000);
    if (isOneOf(m_settings.repeatedPermille)) {
        Message repeated = message;
        repeated.order = ++m_lastOrder;
        repeated.at += milliseconds(m_generator() % 3000);
        m_messages.push(std::move(repeated));
    }
    if (!isOneOf(m_settings.lostPermille))
        m_messages.push(std::move(message));
}

void Fleet::deliver(Message message)
{
    Host& receiver = host(message.to);
    if (!receiver.isAlive)
        return;
    if (m_now < receiver.pausedUntil) {
        message.at = receiver.pausedUntil;
        m_messages.push(std::move(message));
        return;
    }
    if (message.isReply) {
        if (message.entryIncarnation != receiver.incarnation)
            return;
        const auto effect = receiver.cache.reply(host(message.from).name, message.reply, localTime(receiver));
        if (effect == Quota::TokenCache::ReplyEffect::PlanNow)
            receiver.nextPlan = m_now;
        return;
    }
    const Quota::EntryHost entry { host(message.from).name, message.entryIncarnation };
    Message reply { m_now, 0, message.to, message.from, message.entryIncarnation, true, {}, {} };
    reply.reply = receiver.buckets.draw(entry, message.request, localTime(receiver));
    send(std::move(reply));
}

void Fleet::retryWaiting(Host& entry)
{
    std::vector<Waiting> still;
    for (Waiting& waiting : entry.waiting) {
        const auto attempt = Quota::TokenCache::Attempt::Retry;
        if (entry.cache.admit(waiting.customer, attempt, localTime(entry)) == Quota::Admission::Admitted) {
            ++m_counters.waited;
            admitted(waiting.customer);
        } else if (m_now - waiting.since >= Quota::TokenCache::maxWait) {
            entry.cache.cancelWait(waiting.customer);
            ++m_counters.refused;
            m_counters.refusedWrongly += waiting.isWithinLimits ? 1 : 0;
        } else {
            still.push_back(std::move(waiting));
        }
    }
    entry.waiting = std::move(still);
}

void Fleet::plan(int index)
{
    Host& entry = host(index);
    entry.nextPlan = m_now + Quota::TokenCache::planInterval;
    for (Quota::OutgoingDraw& draw : entry.cache.plan(localTime(entry), m_generator)) {
        const int holder = std::stoi(draw.holder.substr(4));
        if (holder == index) {
            const Quota::EntryHost self { entry.name, entry.incarnation };
            const Quota::DrawReply reply = entry.buckets.draw(self, draw.request, localTime(entry));
            if (entry.cache.reply(draw.holder, reply, localTime(entry))
                == Quota::TokenCache::ReplyEffect::PlanNow)
                entry.nextPlan = m_now;
            continue;
        }
        send({ m_now, 0, index, holder, entry.incarnation, false, std::move(draw.request), {} });
    }
}

void Fleet::admitted(const std::string& customer)
{
    ++m_counters.admitted;
    m_admissions[customer].push_back(m_now);
}

void Fleet::publishHolders()
{
    std::vector<std::string> names(Quota::slotCount);
    for (std::size_t slot = 0; slot < names.size(); ++slot) {
        if (m_holders[slot] >= 0)
            names[slot] = host(m_holders[slot]).name;
    }
    for (Host& current : m_hosts)
        current.cache.setHolders(names);
}

}
