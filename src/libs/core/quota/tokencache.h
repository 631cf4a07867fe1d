#pragma once

#include "core/quota/draw.h"

#include <cstddef>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Quota {

/// A request to send to a holder, which may be this host.
struct OutgoingDraw {
    std::string holder;
    DrawRequest request;
};

enum class Admission : std::uint8_t {
    Admitted,
    /// No local tokens: `plan` draws some; call `admit` again after the next reply.
    Wait,
    UnknownCustomer,
};

/// Caches the tokens that an entry host has drawn but not yet spent, and decides when to draw more.
///
/// Draws follow the measured demand: a batch covers a fraction of a second, so that tokens are not held where
/// they are not needed, and the next batch is drawn before the last one is used up. Draws of several
/// customers from one holder share a message. Unused tokens are returned before they expire.
///
/// Not thread-safe: the caller holds a mutex.
class TokenCache {
public:
    /// The maximum time that a request waits for tokens before it is refused with `rate_limited`.
    static constexpr Model::Duration maxWait = std::chrono::milliseconds(100);
    /// The interval at which `plan` must be called. It must also be called after `admit` returned `Wait` and
    /// after `reply` returned `PlanNow`.
    static constexpr Model::Duration planInterval = std::chrono::milliseconds(20);

    /// `self` is the name of this host as a holder. Its own buckets are drawn from first, as that needs no
    /// message.
    explicit TokenCache(std::string self);

    void setLimits(const std::string& customer, const Limits& limits);
    void removeCustomer(const std::string& customer);
    /// Sets the holder of each slot: `slotCount` host names, empty for slots without a holder.
    void setHolders(std::span<const std::string> holders);

    enum class Attempt : std::uint8_t { First, Retry };
    /// Spends one token for a request. After `Wait`, the caller must either call again with `Retry` or cancel
    /// with `cancelWait`.
    Admission admit(const std::string& customer, Attempt attempt, Model::Time now);
    /// A request for which `admit` returned `Wait` was refused or cancelled.
    void cancelWait(const std::string& customer);

    /// Returns the requests to send now: draws, returns of unused tokens, and reports.
    std::vector<OutgoingDraw> plan(Model::Time now, std::mt19937_64& generator);
    enum class ReplyEffect : std::uint8_t {
        None,
        /// Less was granted than requested: call `plan` at once to draw from another holder.
        PlanNow,
    };
    /// Adds the tokens granted in a reply. Replies that are late, repeated, or not to a request of this cache
    /// add none.
    ReplyEffect reply(const std::string& holder, const DrawReply& reply, Model::Time now);

    /// Returns the requests that give all unspent tokens back to their holders, for a host that drains.
    std::vector<OutgoingDraw> returnAll(Model::Time now);

    /// The tokens of a customer that can be spent now; 0 for an unknown customer.
    MicroTokens localTokens(const std::string& customer, Model::Time now) const;

private:
    struct LocalGrant {
        std::string holder;
        std::uint64_t sequence;
        Model::Time expiresAt;
        /// When surplus tokens are returned.
        Model::Time returnsAt;
        MicroTokens remaining;
        MicroTokens spent = 0;
        MicroTokens returned = 0;
        /// The sum of spent and returned tokens in the last report.
        MicroTokens reported = 0;
    };
    struct InFlight {
        std::string holder;
        std::uint64_t sequence;
        Model::Time sentAt;
        Model::Duration validity;
        MicroTokens wanted;
        /// No reply within the time-out: its tokens are not expected any more.
        bool isOverdue = false;
    };
    /// A holder as the source of one customer's tokens.
    struct Source {
        /// The number of the customer's shards that it holds.
        int shards = 0;
        /// Consecutive draws that were granted less than requested, or got no reply in time.
        int shortfalls = 0;
        Model::Time backOffUntil;
    };
    struct Customer {
        Limits limits;
        /// The names of the holders, sorted, in the order in which they are tried.
        std::vector<std::string> order;
        std::unordered_map<std::string, Source> sources;
        /// Index in `order` of the holder to draw from next. Beyond the end until one is chosen at random.
        std::size_t next = std::numeric_limits<std::size_t>::max();
        /// In order of expiry.
        std::list<LocalGrant> grants;
        std::list<InFlight> inFlight;
        std::size_t waiting = 0;
        /// Exponentially smoothed requests per second, as of `demandAt`.
        double demand = 0;
        Model::Time demandAt;
    };
    /// Draws by holder and customer.
    using Requests = std::map<std::string, std::map<std::string, Draw>>;

    static void countDemand(Customer& customer, Model::Time now);
    static double demandAt(const Customer& customer, Model::Time now);
    static Model::Duration batchDuration(const Customer& customer, Model::Time now);
    static Model::Duration validity(const Customer& customer, Model::Time now);
    static MicroTokens maxDrawAmount(const Customer& customer, const std::string& holder, Model::Time now);
    static MicroTokens localTokens(const Customer& customer, Model::Time now);
    static MicroTokens expectedTokens(const Customer& customer, Model::Time now);
    static MicroTokens lowWatermark(const Customer& customer, Model::Time now);
    static MicroTokens wantedTokens(const Customer& customer, Model::Time now);
    static bool mayDraw(const Customer& customer, const std::string& holder, Model::Time now);
    static void backOffSource(
        Customer& customer, const std::string& holder, Model::Duration longest, Model::Time now);

    static void resetBackOff(Customer& customer, const std::string& holder);

    void updateSources(Customer& customer, const std::string& name) const;
    static void removeExpired(Customer& customer, Model::Time now);
    static void addDraw(Customer& customer, const std::string& name, const std::string& holder,
        MicroTokens& wanted, Model::Time now, Requests& requests);
    void planDraws(Customer& customer, const std::string& name, Model::Time now, std::mt19937_64& generator,
        Requests& requests);
    void piggybackDraws(Model::Time now, Requests& requests);
    static void planReturns(Customer& customer, const std::string& name, Model::Time now, Requests& requests);
    static void addReports(Customer& customer, const std::string& holder, Draw& draw, Model::Time now);
    std::vector<OutgoingDraw> finishRequests(Requests& requests, Model::Time now);

    std::string m_self;
    std::map<std::string, Customer> m_customers;
    std::vector<std::string> m_holders;
    std::uint64_t m_lastSequence = 0;
};

}
