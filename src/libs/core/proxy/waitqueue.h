#pragma once

#include "core/model/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Proxy {

/// Where a waiting request may run. Each lane has its own order, because a customer that reads much from
/// replicas must not wait longer for the primary.
enum class WaitLane : std::uint8_t {
    /// Only on the primary.
    Primary,
    /// On every upstream of the service.
    AnyUpstream,
};
inline constexpr std::size_t waitLaneCount = 2;

/// A request that waits for an execution slot.
struct WaitingRequest {
    /// Unique among the waiting requests.
    std::uint64_t id = 0;
    WaitLane lane = WaitLane::Primary;
    /// 0 is the most urgent class.
    int priority = 0;
    /// Empty for callers of open routes; they share one turn, like a customer.
    std::string customer;
    Model::Time arrivedAt;
    Model::Duration targetLatency {};
    /// The request is not expected to meet its target latency any more.
    bool isLate = false;
};

/// An estimate of the requests that are served before a new one.
struct QueueAhead {
    /// By class, of its own and of more urgent classes.
    std::vector<std::pair<int, std::size_t>> classes;
    /// Of its own class; for a late request, of the late ones of its class.
    std::size_t ofClass = 0;
    /// No more requests than this are served before the new one, because less urgent classes have a share.
    std::size_t maximum = std::numeric_limits<std::size_t>::max();
};

/// The order of the requests that wait for the slots of one service.
///
/// More urgent classes go first, but one in some turns belongs to a less urgent class. Within a class the
/// customers take turns; within a turn the oldest request is first. A request that has waited longer than
/// half of its target latency is served up to one turn earlier; more would let a customer with many requests
/// delay those of others. Late requests of a class are served when no others of it can start: in an overload
/// that lasts, oldest first alone would make all requests late. The cost of each operation grows with the
/// logarithm of the number of requests. Used on one thread.
class WaitQueue {
public:
    /// Returns whether the next requests are to be visited.
    using Visitor = std::function<bool(std::uint64_t id)>;

    /// Adds a request that is not queued yet.
    void push(const WaitingRequest& request);
    /// Returns a request that was taken but did not run to its previous place, and its turn to the customer.
    void putBack(const WaitingRequest& request);
    /// Removes a request that starts now, and counts its customer's turn. Returns whether other requests with
    /// the same class, lane and lateness are still waiting.
    bool take(std::uint64_t id);
    /// Removes a request that will not run. Does nothing if it is not queued.
    void remove(std::uint64_t id);

    /// Visits the first request of each customer in the order in which they should start, until the visitor
    /// returns false.
    void visit(WaitLane lane, Model::Time now, const Visitor& visitor) const;

    /// Returns an estimate of the requests that would be served before one that is pushed now.
    QueueAhead ahead(const WaitingRequest& request) const;
    /// Returns a queued request.
    const WaitingRequest& at(std::uint64_t id) const { return m_requests.at(id); }
    /// Returns how many requests of the same customer, class and lane are queued, this one included.
    std::size_t sizeOfCustomer(std::uint64_t id) const;
    bool contains(std::uint64_t id) const { return m_requests.contains(id); }
    bool isEmpty() const { return m_requests.empty(); }
    bool isEmpty(WaitLane lane) const;
    std::size_t size() const { return m_requests.size(); }

private:
    /// Number of a turn. A customer's first request of turn n+1 follows the requests of turn n.
    using Turn = std::int64_t;

    struct Customer {
        Turn turn = 0;
        /// By arrival and id.
        std::map<std::pair<Model::Time, std::uint64_t>, Model::Duration> requests;
    };
    /// Position of a customer's first request.
    struct Head {
        Turn turn = 0;
        Model::Time arrivedAt;
        std::uint64_t id = 0;
        Model::Duration targetLatency {};

        bool operator<(const Head& other) const;
    };
    /// Order of the groups of a lane.
    struct GroupKey {
        int priority = 0;
        bool isLate = false;

        auto operator<=>(const GroupKey&) const = default; // NOLINT(modernize-use-nullptr)
    };
    /// The requests of one class in one lane that are late, or those that are not.
    struct Group {
        Turn currentTurn = 0;
        std::map<std::string, Customer> customers;
        std::set<Head> heads;
        std::size_t size = 0;
    };
    struct Lane {
        /// Only groups with waiting requests.
        std::map<GroupKey, Group> groups;
        /// Turns of the most urgent class since a less urgent one had its turn.
        int urgentTurns = 0;
        /// The less urgent class that had the last such turn.
        int lastSharePriority = 0;
    };

    static Head headOf(const Customer& customer);
    static bool visitGroup(const Group& group, Model::Time now, const Visitor& visitor);
    /// Returns the less urgent class whose turn it is, or null.
    static const Group* shareTurn(const Lane& lane);
    static void countTurn(Lane& lane, int priority);
    void insert(const WaitingRequest& request, Turn returnedTurns);
    void erase(const WaitingRequest& request, Turn usedTurns);
    Lane& laneOf(WaitLane lane) { return m_lanes.at(static_cast<std::size_t>(lane)); }
    const Lane& laneOf(WaitLane lane) const { return m_lanes.at(static_cast<std::size_t>(lane)); }

    std::array<Lane, waitLaneCount> m_lanes;
    std::unordered_map<std::uint64_t, WaitingRequest> m_requests;
};

}
