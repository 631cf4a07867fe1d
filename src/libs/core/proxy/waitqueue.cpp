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
    Group& group = laneOf(request.lane).classes[request.priority];
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
    return lane.classes.contains(request.priority);
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
    const auto found = lane.classes.find(request.priority);
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
        lane.classes.erase(found);
}

bool WaitQueue::isEmpty(WaitLane lane) const { return laneOf(lane).classes.empty(); }

void WaitQueue::countTurn(Lane& lane, int priority)
{
    if (lane.classes.size() < 2) {
        lane.urgentTurns = 0;
        return;
    }
    if (priority == lane.classes.begin()->first) {
        ++lane.urgentTurns;
        return;
    }
    lane.urgentTurns = 0;
    lane.lastSharePriority = priority;
}

const WaitQueue::Group* WaitQueue::shareTurn(const Lane& lane)
{
    if (lane.classes.size() < 2 || lane.urgentTurns < shareDivisor - 1)
        return nullptr;
    // Less urgent classes take such turns one after the other.
    auto next = lane.classes.upper_bound(std::max(lane.lastSharePriority, lane.classes.begin()->first));
    if (next == lane.classes.end())
        next = std::next(lane.classes.begin());
    return &next->second;
}

void WaitQueue::visit(WaitLane laneId, Model::Time now, const Visitor& visitor) const
{
    const Lane& lane = laneOf(laneId);
    const Group* share = shareTurn(lane);
    if (share && !visitGroup(*share, now, visitor))
        return;
    for (const auto& [priority, group] : lane.classes) {
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
    for (const auto& [priority, group] : laneOf(request.lane).classes) {
        if (priority > request.priority)
            break;
        if (priority < request.priority) {
            result.total += group.size;
            continue;
        }
        // The other customers have about as many turns as this one before its new request is served.
        const auto customer = group.customers.find(request.customer);
        const std::size_t own = customer == group.customers.end() ? 0 : customer->second.requests.size();
        result.ofClass = std::min(group.size, own + (own + 1) * group.heads.size());
    }
    result.total += result.ofClass;
    // Less urgent classes need not wait until all others have been served.
    if (result.ofClass < result.total)
        result.total = std::min(result.total, (result.ofClass + 1) * shareDivisor);
    return result;
}

}
