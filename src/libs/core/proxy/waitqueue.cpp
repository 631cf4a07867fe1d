#include "core/proxy/waitqueue.h"

#include <algorithm>
#include <tuple>

namespace Proxy {

namespace {

    /// Every `shareDivisor`th turn belongs to a less urgent class, if one waits.
    constexpr int shareDivisor = 8;

}

bool WaitQueue::Head::operator<(const Head& other) const
{
    return std::tie(turn, arrivedAt, id) < std::tie(other.turn, other.arrivedAt, other.id);
}

WaitQueue::Head WaitQueue::headOf(const Customer& customer)
{
    const auto& [key, targetLatency] = *customer.requests.begin();
    return { customer.turn, key.first, key.second, targetLatency };
}

void WaitQueue::push(const WaitingRequest& request) { insert(request, 0); }

void WaitQueue::putBack(const WaitingRequest& request) { insert(request, 1); }

void WaitQueue::insert(const WaitingRequest& request, Turn returnedTurns)
{
    if (!m_requests.emplace(request.id, request).second)
        return;
    Group& group = laneOf(request.lane).groups[{ request.priority, request.isLate }];
    Customer& customer = group.customers[request.customer];
    if (!customer.requests.empty())
        group.heads.erase(headOf(customer));
    customer.turn -= returnedTurns;
    // A customer gets no credit for turns in which it had no request. The turn that is returned may have
    // been the current one.
    if (customer.requests.empty())
        customer.turn = std::max(customer.turn, group.currentTurn);
    customer.requests.emplace(std::pair(request.arrivedAt, request.id), request.targetLatency);
    group.heads.insert(headOf(customer));
    ++group.size;
}

bool WaitQueue::take(std::uint64_t id)
{
    const WaitingRequest request = m_requests.at(id);
    Lane& lane = laneOf(request.lane);
    countTurn(lane, request.priority);
    erase(request, 1);
    return lane.groups.contains({ request.priority, request.isLate });
}

void WaitQueue::remove(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end())
        erase(WaitingRequest(found->second), 0);
}

void WaitQueue::erase(const WaitingRequest& request, Turn usedTurns)
{
    Lane& lane = laneOf(request.lane);
    const auto found = lane.groups.find({ request.priority, request.isLate });
    Group& group = found->second;
    Customer& customer = group.customers.at(request.customer);
    group.heads.erase(headOf(customer));
    customer.requests.erase({ request.arrivedAt, request.id });
    if (usedTurns > 0) {
        // A request that was served a turn earlier does not end the turn of the others.
        const Turn first = group.heads.empty() ? customer.turn : group.heads.begin()->turn;
        group.currentTurn = std::max(group.currentTurn, std::min(customer.turn, first));
        customer.turn += usedTurns;
    }
    if (!customer.requests.empty())
        group.heads.insert(headOf(customer));
    m_requests.erase(request.id);
    // Turns of the past do not count once nobody waits.
    if (--group.size == 0)
        lane.groups.erase(found);
}

std::size_t WaitQueue::sizeOfCustomer(std::uint64_t id) const
{
    const WaitingRequest& request = m_requests.at(id);
    const Group& group = laneOf(request.lane).groups.at({ request.priority, request.isLate });
    return group.customers.at(request.customer).requests.size();
}

bool WaitQueue::isEmpty(WaitLane lane) const { return laneOf(lane).groups.empty(); }

void WaitQueue::countTurn(Lane& lane, int priority)
{
    const int first = lane.groups.begin()->first.priority;
    if (lane.groups.rbegin()->first.priority == first) {
        lane.urgentTurns = 0;
        return;
    }
    if (priority == first) {
        ++lane.urgentTurns;
        return;
    }
    lane.urgentTurns = 0;
    lane.lastSharePriority = priority;
}

const WaitQueue::Group* WaitQueue::shareTurn(const Lane& lane)
{
    const int first = lane.groups.begin()->first.priority;
    if (lane.urgentTurns < shareDivisor - 1 || lane.groups.rbegin()->first.priority == first)
        return nullptr;
    // Less urgent classes take such turns one after the other.
    auto next = lane.groups.upper_bound({ std::max(lane.lastSharePriority, first), true });
    if (next == lane.groups.end())
        next = lane.groups.upper_bound({ first, true });
    return &next->second;
}

void WaitQueue::visit(WaitLane laneId, Model::Time now, const Visitor& visitor) const
{
    const Lane& lane = laneOf(laneId);
    if (lane.groups.empty())
        return;
    const Group* share = shareTurn(lane);
    if (share && !visitGroup(*share, now, visitor))
        return;
    for (const auto& [key, group] : lane.groups) {
        if (&group != share && !visitGroup(group, now, visitor))
            return;
    }
}

bool WaitQueue::visitGroup(const Group& group, Model::Time now, const Visitor& visitor)
{
    const auto isLate = [now](const Head& head) { return now - head.arrivedAt > head.targetLatency / 2; };
    const Turn turn = group.heads.begin()->turn;
    auto current = group.heads.begin();
    auto following = group.heads.lower_bound(Head { turn + 1, Model::Time::min(), 0, {} });
    const auto currentEnd = following;
    const auto followingEnd = group.heads.lower_bound(Head { turn + 2, Model::Time::min(), 0, {} });
    while (current != currentEnd) {
        const bool isFollowingFirst
            = following != followingEnd && isLate(*following) && following->arrivedAt < current->arrivedAt;
        if (!visitor(isFollowingFirst ? (following++)->id : (current++)->id))
            return false;
    }
    for (; following != group.heads.end(); ++following) {
        if (!visitor(following->id))
            return false;
    }
    return true;
}

QueueAhead WaitQueue::ahead(const WaitingRequest& request) const
{
    QueueAhead result;
    const GroupKey own { request.priority, request.isLate };
    for (const auto& [key, group] : laneOf(request.lane).groups) {
        if (key > own)
            break;
        if (key < own) {
            result.classes.emplace_back(key.priority, group.size);
            continue;
        }
        // The other customers have about as many turns as this one before its new request is served.
        const auto customer = group.customers.find(request.customer);
        const std::size_t same = customer == group.customers.end() ? 0 : customer->second.requests.size();
        result.ofClass = std::min(group.size, same + (same + 1) * group.heads.size());
        result.classes.emplace_back(key.priority, result.ofClass);
    }
    // Late requests have no share: those of their class that are not late may use it up.
    if (!request.isLate)
        result.maximum = (result.ofClass + 1) * shareDivisor;
    return result;
}

}
