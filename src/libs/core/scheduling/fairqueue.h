#pragma once

#include "core/model/result.h"
#include "core/model/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Scheduling {

/// The members of a group on which an item can run.
enum class Placement : std::uint8_t {
    Primary,
    Replica,
    AnyMember,
    /// Only the member `QueueItem::member`, for example the one that runs an open transaction.
    Member,
};

/// The queue's entry for a statement. The owner of the queue keeps the statement itself under `id`.
struct QueueItem {
    /// Unique among the queued items.
    std::uint64_t id = 0;
    /// Empty for routes open to all callers; their items share one queue, like those of a customer.
    std::string customer;
    /// Name of the key object, by which the items of a withdrawn key are found.
    std::string keyName;
    Placement placement = Placement::Primary;
    std::string member;
    Model::Time deadline;
};

/// The statement queue of one group. Uses start-time fair queueing with a weight per customer.
///
/// Each upstream has its own virtual time: at each upstream, the customers that have items for it are
/// served in proportion to their weights. With one virtual time for the whole group, a customer that reads
/// heavily from the replicas could wait for the primary indefinitely.
///
/// Not thread-safe: the caller holds a mutex.
class FairQueue {
public:
    using Predicate = std::function<bool(const QueueItem&)>;

    explicit FairQueue(std::size_t maxItemsPerCustomer);

    /// Sets the weight of a customer. The default is 1, and a weight of 0 counts as 1.
    void setWeight(const std::string& customer, std::uint32_t weight);
    /// Sets the maximum number of queued items per customer. Items that are already queued stay.
    void setMaxItemsPerCustomer(std::size_t maxItemsPerCustomer);

    /// Queues an item. Errors: `QueueFull` if the customer has the maximum number of queued items,
    /// `DeadlineExceeded` if the deadline has passed, `Internal` if the id is already queued.
    Model::Result<void> push(QueueItem item, Model::Time now);

    /// Removes and returns the next item to run on `upstream` among those that satisfy `canRun`;
    /// `std::nullopt` if there is none. Items whose deadline has passed are left for `expire`. Within a
    /// customer, the oldest item goes first.
    std::optional<QueueItem> pop(const std::string& upstream, const Predicate& canRun, Model::Time now);

    /// Whether `pop` would return an item.
    bool hasRunnable(const Predicate& canRun, Model::Time now) const;

    /// Removes and returns the items whose deadline has passed.
    std::vector<QueueItem> expire(Model::Time now);
    /// Removes and returns one item, for example of a caller that disconnected; `std::nullopt` if it is not
    /// queued.
    std::optional<QueueItem> remove(std::uint64_t id);
    /// Removes and returns the items of a withdrawn key.
    std::vector<QueueItem> removeKey(std::string_view keyName);
    /// Removes and returns the items that satisfy `predicate`.
    std::vector<QueueItem> removeIf(const Predicate& predicate);

    /// The earliest deadline of a queued item; `std::nullopt` if the queue is empty.
    std::optional<Model::Time> nextDeadline() const;
    std::size_t size() const { return m_positions.size(); }
    std::size_t size(const std::string& customer) const;

private:
    using Items = std::list<QueueItem>;
    using VirtualTime = std::uint64_t;

    struct Customer {
        std::uint32_t weight = 1;
        Items items;
    };
    struct UpstreamClock {
        /// The upstream's virtual time.
        VirtualTime now = 0;
        /// By customer: the virtual start time of its next item at this upstream.
        std::unordered_map<std::string, VirtualTime> starts;
    };
    struct Position {
        Customer* customer;
        Items::iterator item;
    };

    QueueItem take(Items::iterator item);
    void resetIfEmpty();

    std::size_t m_maxItemsPerCustomer;
    std::map<std::string, Customer> m_customers;
    std::unordered_map<std::string, UpstreamClock> m_upstreamClocks;
    std::unordered_map<std::uint64_t, Position> m_positions;
    std::multimap<Model::Time, std::uint64_t> m_deadlines;
};

}
