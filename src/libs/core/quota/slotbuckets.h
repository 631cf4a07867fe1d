#pragma once

#include "core/quota/draw.h"

#include <bitset>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Quota {

/// The buckets of the slots that this host holds.
///
/// For each shard: available + outstanding tokens never exceed its burst, and refill never exceeds its
/// rate. Outstanding are all granted tokens that an entry host may still spend, or whose use is not yet
/// reported. So the fleet admits at most burst + rate * t in any window t, whatever happens to messages.
///
/// Not thread-safe: the caller holds a mutex. It calls `draw` only while the host may serve its slots.
class SlotBuckets {
public:
    /// How long a change of limits may need to be in force on all hosts.
    static constexpr Model::Duration limitsPropagationTime = std::chrono::seconds(17);

    /// Buckets refill only from `limitsPropagationTime` after `started`, the start of the process: it does
    /// not know whether other hosts still use earlier limits.
    explicit SlotBuckets(Model::Time started);

    /// Puts limits in force. If the number of shards changes, then only what lowers the limits of a shard
    /// takes effect at once, and the rest after `limitsPropagationTime`: hosts that still use the old number
    /// would otherwise admit more than both limits together with those that use the new one.
    void setLimits(const std::string& customer, const Limits& limits, Model::Time now);
    void removeCustomer(const std::string& customer);

    /// Starts to serve a slot, with empty buckets. They refill only from `maxGrantValidity` later, when no
    /// entry host can spend grants of the previous holder any more.
    void takeSlot(int slot, Model::Time now);
    /// Forgets the slot; to be called before its row is released.
    void removeSlot(int slot);
    bool holdsSlot(int slot) const { return m_slots[static_cast<std::size_t>(slot)]; }

    /// Applies the reports, and grants what is available. A request whose sequence is not above all earlier
    /// ones of the sender is granted nothing, and no more is one of an older incarnation.
    DrawReply draw(const EntryHost& entry, const DrawRequest& request, Model::Time now);

    /// Available tokens of a customer in the slots held here, for metrics.
    MicroTokens available(const std::string& customer, Model::Time now);
    /// Forgets entry hosts without a request for longer than grants are counted.
    void removeIdleEntryHosts(Model::Time now);

private:
    struct Bucket {
        MicroTokens available = 0;
        MicroTokens outstanding = 0;
        Model::Time refilledAt;
        /// Part of a micro-token, in millionths.
        MicroTokens fraction = 0;
        /// Tells grants of an earlier tenure of the same slot apart.
        std::uint64_t acquisition = 0;
    };
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
        /// The slot of each shard that there may be.
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

    Model::Time m_refillFrom;
    std::bitset<slotCount> m_slots;
    std::unordered_map<std::string, Customer> m_customers;
    std::unordered_map<std::string, EntryHostState> m_entries;
    std::uint64_t m_lastAcquisition = 0;
};

}
