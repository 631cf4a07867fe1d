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

/// A request to send to a holder, which may be the own host.
struct OutgoingDraw {
    std::string holder;
    DrawRequest request;
};

enum class Admission : std::uint8_t {
    Admitted,
    /// No local tokens: `plan` draws some; ask again after the next reply.
    Wait,
    UnknownCustomer,
};

/// The tokens that an entry host has drawn and not yet spent, and the decisions on drawing more.
///
/// Draws follow demand: a batch lasts for part of a second, so that tokens are not held where they are not
/// needed, and is drawn before the last one ends. Draws of several customers from one holder share a
/// message. Unused tokens are returned before they expire.
///
/// Not thread-safe: the caller holds a mutex.
class TokenCache {
public:
    /// How long a request waits for tokens before it is refused with `rate_limited`.
    static constexpr Model::Duration maxWait = std::chrono::milliseconds(100);
    /// How often `plan` has to be called; also after `admit` returned `Wait` and after `PlanNow`.
    static constexpr Model::Duration planInterval = std::chrono::milliseconds(20);

    /// `self` is the name of the own host as a holder. Its buckets are asked first, as that needs no message.
    explicit TokenCache(std::string self);

    void setLimits(const std::string& customer, const Limits& limits);
    void removeCustomer(const std::string& customer);
    /// The holder of each slot, empty if there is none; `slotCount` names.
    void setHolders(std::span<const std::string> holders);

    enum class Attempt : std::uint8_t { First, Retry };
    /// Spends one token. A request that was told to wait asks again with `Again`, or is given up.
    Admission admit(const std::string& customer, Attempt attempt, Model::Time now);
    /// A waiting request is refused or gone.
    void cancelWait(const std::string& customer);

    /// The requests to send now.
    std::vector<OutgoingDraw> plan(Model::Time now, std::mt19937_64& generator);
    enum class ReplyEffect : std::uint8_t {
        None,
        /// Less was granted than wanted: another holder is to be asked at once.
        PlanNow,
    };
    /// Takes over the tokens of a reply. Replies that come late, twice, or without a request count nothing.
    ReplyEffect reply(const std::string& holder, const DrawReply& reply, Model::Time now);

    /// Returns all tokens, for a host that drains.
    std::vector<OutgoingDraw> returnAll(Model::Time now);

    /// Tokens that can be spent now.
    MicroTokens localTokens(const std::string& customer, Model::Time now) const;

private:
    struct LocalGrant {
        std::string holder;
        std::uint64_t sequence;
        Model::Time expiresAt;
        /// When unused tokens are returned.
        Model::Time returnsAt;
        MicroTokens remaining;
        MicroTokens spent = 0;
        MicroTokens returned = 0;
        MicroTokens reported = 0;
    };
    struct InFlight {
        std::string holder;
        std::uint64_t sequence;
        Model::Time sentAt;
        Model::Duration validity;
        MicroTokens wanted;
        /// No longer counted on.
        bool isOverdue = false;
    };
    /// What is known of a holder with regard to one customer.
    struct Source {
        int shards = 0;
        /// Draws in a row that were granted less than was wanted, or not answered.
        int shortfalls = 0;
        Model::Time backOffUntil;
    };
    struct Customer {
        Limits limits;
        std::vector<std::string> order;
        std::unordered_map<std::string, Source> sources;
        /// Index in `order` of the holder to draw from next; beyond the end until one is chosen at random.
        std::size_t next = std::numeric_limits<std::size_t>::max();
        /// In the order of expiry.
        std::list<LocalGrant> grants;
        std::list<InFlight> inFlight;
        std::size_t waiting = 0;
        /// Smoothed number of requests per second.
        double demand = 0;
        Model::Time demandAt;
    };
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
