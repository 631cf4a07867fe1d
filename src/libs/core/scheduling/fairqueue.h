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

/// The kind of upstream that an item can run on.
enum class Placement : std::uint8_t {
    Primary,
    Replica,
    AnyMember,
    /// Only the upstream named by `QueueItem::member`, for example the one of an open transaction.
    Member,
};

/// A queued statement. The owner of the queue keeps the statement itself under `id`.
struct QueueItem {
    /// Unique among the queued items.
    std::uint64_t id = 0;
    /// Empty for routes open to all; these share one queue of their own.
    std::string customer;
    /// Name of the key object, so that the items of a withdrawn key can be removed.
    std::string keyName;
    Placement placement = Placement::Primary;
    std::string member;
    Model::Time deadline;
};

/// Queue of one group with start-time fair queueing by customer weight.
///
/// Each upstream has its own virtual time: at each upstream, the customers that have items for it are
/// served in proportion to their weights. One virtual time for the whole group would let a customer that
/// reads a lot at the replicas wait without end for the primary.
///
/// Not thread-safe: the caller holds a mutex.
class FairQueue {
public:
    using Predicate = std::function<bool(const QueueItem&)>;

    explicit FairQueue(std::size_t maxItemsPerCustomer);

    /// The weight of a customer from now on; 1 until it is set. A weight of 0 counts as 1.
    void setWeight(const std::string& customer, std::uint32_t weight);
    /// A lower bound removes no queued items.
    void setMaxItemsPerCustomer(std::size_t maxItemsPerCustomer);

    /// Errors: `QueueFull` at the customer's bound, `DeadlineExceeded` if the deadline has passed,
    /// `Internal` if the id is already queued.
    Model::Result<void> push(QueueItem item, Model::Time now);

    /// Removes and returns the next item to run on `upstream` among those that satisfy `canRun`. Items
    /// whose deadline has passed are left for `expire`. Within a customer, the oldest item goes first.
    std::optional<QueueItem> pop(const std::string& upstream, const Predicate& canRun, Model::Time now);

    /// Whether `pop` would return an item.
    bool hasRunnable(const Predicate& canRun, Model::Time now) const;

    /// Removes and returns the items whose deadline has passed.
    std::vector<QueueItem> expire(Model::Time now);
    /// Removes one item, for example of a caller that has gone; nothing if it is not queued.
    std::optional<QueueItem> remove(std::uint64_t id);
    /// Removes and returns the items of a withdrawn key.
    std::vector<QueueItem> removeKey(std::string_view keyName);
    /// Removes and returns the items that satisfy `predicate`.
    std::vector<QueueItem> removeIf(const Predicate& predicate);

    /// The earliest deadline of a queued item.
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
    /// Virtual time of one upstream, and the virtual start of the next item of each customer there.
    struct UpstreamClock {
        VirtualTime now = 0;
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
