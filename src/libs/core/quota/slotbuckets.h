#pragma once

#include "core/quota/draw.h"

#include <bitset>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Quota {

/// The token buckets of the slots that this host holds, one for each shard.
///
/// In each bucket, available + outstanding tokens never exceed the shard's burst, and the refill never
/// exceeds its rate. Outstanding tokens are granted tokens that an entry host may still spend, or whose use
/// is not yet reported. So the fleet admits at most burst + rate * t in any window of length t, even if
/// messages are lost, late, repeated or reordered.
///
/// Not thread-safe: the caller holds a mutex. It must call `draw` only while `SlotLeases` allows this host to
/// serve its slots.
class SlotBuckets {
public:
    /// The maximum time until a change of limits is in force on all hosts.
    static constexpr Model::Duration limitsPropagationTime = std::chrono::seconds(17);

    /// Buckets start to refill `limitsPropagationTime` after `started`, the start of the process: a new
    /// process does not know whether other hosts still use earlier limits.
    explicit SlotBuckets(Model::Time started);

    /// Sets the limits of a customer. If the number of shards changes, or an earlier such change is pending,
    /// only values that are lower take effect at once, and the rest after `limitsPropagationTime`: otherwise
    /// hosts that still use the old number of shards, together with those that use the new one, would admit
    /// more than both limits allow.
    void setLimits(const std::string& customer, const Limits& limits, Model::Time now);
    void removeCustomer(const std::string& customer);

    /// Adds a slot with empty buckets. They start to refill `maxGrantValidity` later, when no entry host can
    /// spend grants of the previous holder any more. Does nothing if the slot is already held.
    void takeSlot(int slot, Model::Time now);
    /// Removes the slot and its buckets. Must be called before the slot's row is released.
    void removeSlot(int slot);
    bool holdsSlot(int slot) const { return m_slots[static_cast<std::size_t>(slot)]; }

    /// Applies the reports and grants available tokens. Grants nothing if a request with this or a higher
    /// sequence number, or of a higher incarnation, has already been received from the sender; the reports
    /// still count.
    DrawReply draw(const EntryHost& entry, const DrawRequest& request, Model::Time now);

    /// The available tokens of a customer in the slots held by this host, for metrics.
    MicroTokens available(const std::string& customer, Model::Time now);
    /// Removes the state of entry hosts whose last request is so old that none of their grants count any
    /// more.
    void removeIdleEntryHosts(Model::Time now);

private:
    struct Bucket {
        MicroTokens available = 0;
        MicroTokens outstanding = 0;
        Model::Time refilledAt;
        /// Refilled fraction of a micro-token, in millionths of it.
        MicroTokens fraction = 0;
        /// Identifies the acquisition of the slot, to distinguish grants from an earlier one.
        std::uint64_t acquisition = 0;
    };
    /// The tokens of a grant that came from one shard's bucket.
    struct ShardGrant {
        int shard;
        std::uint64_t acquisition;
        MicroTokens remaining;
    };
    struct GrantId {
        std::string entry;
        std::uint64_t incarnation;
        std::uint64_t sequence;

        bool operator<(const GrantId& other) const;
    };
    struct GrantRecord {
        MicroTokens spent = 0;
        MicroTokens returned = 0;
        std::vector<ShardGrant> shardGrants;
    };
    struct LimitsInForce {
        int shards = 0;
        ShardLimits limits;

        bool operator==(const LimitsInForce&) const = default;
    };
    struct PendingLimits {
        LimitsInForce limits;
        Model::Time at;
    };
    struct Customer {
        /// The slot of each possible shard, `maxShards` entries.
        std::vector<int> slots;
        LimitsInForce inForce;
        std::optional<PendingLimits> pending;
        std::map<int, Bucket> buckets;
        std::map<GrantId, GrantRecord> grants;
        std::multimap<Model::Time, GrantId> expiries;
    };
    struct EntryHostState {
        std::uint64_t incarnation = 0;
        std::uint64_t lastSequence = 0;
        Model::Time lastRequestAt;
    };

    bool isNewRequest(const EntryHost& entry, std::uint64_t sequence, Model::Time now);
    void bringUpToDate(Customer& customer, Model::Time now);
    static void expireAndRefill(Customer& customer, Model::Time now);
    static void refill(Customer& customer, Model::Time until);
    void updateBuckets(Customer& customer, Model::Time now);
    static void applyReport(Customer& customer, const GrantId& id, const GrantReport& report);
    static MicroTokens grant(Customer& customer, const GrantId& id, const Draw& draw, Model::Time now);

    /// No bucket refills before this time.
    Model::Time m_refillFrom;
    std::bitset<slotCount> m_slots;
    std::unordered_map<std::string, Customer> m_customers;
    std::unordered_map<std::string, EntryHostState> m_entryHosts;
    std::uint64_t m_lastAcquisition = 0;
};

}
