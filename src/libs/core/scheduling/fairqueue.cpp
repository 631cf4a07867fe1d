#include "core/scheduling/fairqueue.h"

#include <algorithm>
#include <utility>

namespace Scheduling {

namespace {

    // Virtual time that one item of a customer of weight 1 takes. It has to exceed any weight, so that its
    // quotient by the weight stays above zero for each customer.
    constexpr std::uint64_t virtualTimePerItem = std::uint64_t { 1 } << 32;

}

FairQueue::FairQueue(std::size_t maxItemsPerCustomer)
    : m_maxItemsPerCustomer(maxItemsPerCustomer)
{
}

void FairQueue::setWeight(const std::string& customer, std::uint32_t weight)
{
    m_customers[customer].weight = std::max<std::uint32_t>(weight, 1);
}

void FairQueue::setMaxItemsPerCustomer(std::size_t maxItemsPerCustomer)
{
    m_maxItemsPerCustomer = maxItemsPerCustomer;
}

Model::Result<void> FairQueue::push(QueueItem item, Model::Time now)
{
    if (item.deadline <= now)
        return Model::makeError(Model::ErrorCode::DeadlineExceeded);
    if (m_positions.contains(item.id))
        return Model::makeError(Model::ErrorCode::Internal, "the item is already queued");
    Customer& customer = m_customers[item.customer];
    if (customer.items.size() >= m_maxItemsPerCustomer)
        return Model::makeError(Model::ErrorCode::QueueFull);
    const std::uint64_t id = item.id;
    m_deadlines.emplace(item.deadline, id);
    const auto inserted = customer.items.insert(customer.items.end(), std::move(item));
    m_positions.emplace(id, Position { &customer, inserted });
    return {};
}

std::optional<QueueItem> FairQueue::pop(const std::string& upstream, const Predicate& canRun, Model::Time now)
{
    UpstreamClock& clock = m_upstreamClocks[upstream];
    const auto runnable = [&](const QueueItem& item) { return item.deadline > now && canRun(item); };
    std::optional<Items::iterator> best;
    VirtualTime bestStart = 0;
    for (auto& [name, customer] : m_customers) {
        if (customer.items.empty())
            continue;
        const auto known = clock.starts.find(name);
        // A customer gets no credit for the time in which it had no item for this upstream.
        const VirtualTime start = std::max(known == clock.starts.end() ? 0 : known->second, clock.now);
        if (best && start >= bestStart)
            continue;
        const auto item = std::ranges::find_if(customer.items, runnable);
        if (item == customer.items.end())
            continue;
        best = item;
        bestStart = start;
    }
    if (!best)
        return std::nullopt;
    clock.now = bestStart;
    const std::string& customer = (*best)->customer;
    clock.starts[customer] = bestStart + virtualTimePerItem / m_customers.at(customer).weight;
    QueueItem item = take(*best);
    resetIfEmpty();
    return item;
}

bool FairQueue::hasRunnable(const Predicate& canRun, Model::Time now) const
{
    const auto runnable = [&](const QueueItem& item) { return item.deadline > now && canRun(item); };
    return std::ranges::any_of(
        m_customers, [&](const auto& entry) { return std::ranges::any_of(entry.second.items, runnable); });
}

std::vector<QueueItem> FairQueue::expire(Model::Time now)
{
    std::vector<QueueItem> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expired.push_back(take(m_positions.at(m_deadlines.begin()->second).item));
    resetIfEmpty();
    return expired;
}

std::optional<QueueItem> FairQueue::remove(std::uint64_t id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return std::nullopt;
    QueueItem item = take(found->second.item);
    resetIfEmpty();
    return item;
}

std::vector<QueueItem> FairQueue::removeKey(std::string_view keyName)
{
    return removeIf([&](const QueueItem& item) { return item.keyName == keyName; });
}

std::vector<QueueItem> FairQueue::removeIf(const Predicate& predicate)
{
    std::vector<QueueItem> removed;
    for (auto& [name, customer] : m_customers) {
        for (auto item = customer.items.begin(); item != customer.items.end();) {
            const auto current = item++;
            if (predicate(*current))
                removed.push_back(take(current));
        }
    }
    resetIfEmpty();
    return removed;
}

std::optional<Model::Time> FairQueue::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

std::size_t FairQueue::size(const std::string& customer) const
{
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? 0 : found->second.items.size();
}

QueueItem FairQueue::take(Items::iterator item)
{
    const auto position = m_positions.find(item->id);
    const auto [first, last] = m_deadlines.equal_range(item->deadline);
    m_deadlines.erase(std::find_if(first, last, [&](const auto& entry) { return entry.second == item->id; }));
    QueueItem taken = std::move(*item);
    position->second.customer->items.erase(item);
    m_positions.erase(position);
    return taken;
}

// Resets the virtual times once the queue is empty: no customer waits, so earlier service no longer counts.
// This also discards the virtual times of upstreams and customers that no longer exist.
void FairQueue::resetIfEmpty()
{
    if (!m_positions.empty())
        return;
    m_upstreamClocks.clear();
}

}
