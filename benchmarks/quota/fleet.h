#pragma once

#include "core/quota/slotbuckets.h"
#include "core/quota/tokencache.h"

#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace QuotaSimulation {

struct FleetSettings {
    int hosts = 9;
    /// One-way message delay between hosts.
    Model::Duration delay = std::chrono::milliseconds(1);
    /// Fault rates, per thousand messages. Late messages, and the copies of repeated ones, are
    /// delayed by up to a further 3 s.
    std::uint64_t lostPermille = 0;
    std::uint64_t repeatedPermille = 0;
    std::uint64_t latePermille = 0;
    std::uint64_t seed = 1;
};

struct Counters {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Refused although a single bucket for the whole fleet would have admitted the request on arrival.
    std::uint64_t refusedWrongly = 0;
    /// Admitted after waiting for tokens.
    std::uint64_t waited = 0;
    std::uint64_t messages = 0;
    std::uint64_t payloadBytes = 0;
    /// Payload plus the framing of ZeroMQ and CURVE and the headers of TCP and IP.
    std::uint64_t wireBytes = 0;
};

/// A token bucket without distribution, as the baseline: `share` is the fraction of the limits that it gets.
class Bucket {
public:
    explicit Bucket(Quota::Limits limits, double share = 1);
    bool admit(Model::Time now);

private:
    double m_rate;
    double m_burst;
    double m_level;
    Model::Time m_refilledAt;
};

/// Simulates hosts with token caches and buckets, and the messages between them, in virtual time.
class Fleet {
public:
    explicit Fleet(const FleetSettings& settings);

    void setLimits(int host, const std::string& customer, const Quota::Limits& limits);
    void setLimits(const std::string& customer, const Quota::Limits& limits);

    /// Advances the time by `step`: delivers messages, retries waiting requests, and draws tokens.
    void advance(Model::Duration step);
    /// A request arrives at a host. Ignored if the host is dead or paused.
    void request(int host, const std::string& customer);

    void pause(int host, Model::Duration period);
    /// The process ends. Its slots have no holder until `takeOver`.
    void kill(int host);
    /// Starts a new process under the same name, with the next incarnation.
    void start(int host);
    /// Assigns the slots that no live process holds to random live hosts.
    void takeOver();
    /// Moves every `stride`th slot from its holder to one random host, as in a drain.
    void moveSlots(int stride);

    bool isAlive(int host) const { return m_hosts[static_cast<std::size_t>(host)].isAlive; }
    Model::Time now() const { return m_now; }
    /// The available tokens of a customer in the buckets of all live hosts.
    Quota::MicroTokens available(const std::string& customer);
    const Counters& counters() const { return m_counters; }
    void resetCounters() { m_counters = {}; }
    /// The times at which requests of a customer were admitted, in order.
    const std::vector<Model::Time>& admissions(const std::string& customer) { return m_admissions[customer]; }

private:
    struct Waiting {
        std::string customer;
        Model::Time since;
        bool isWithinLimits;
    };
    struct Host {
        std::string name;
        std::uint64_t incarnation = 1;
        Quota::TokenCache cache { {} };
        Quota::SlotBuckets buckets { Model::Time {} };
        bool isAlive = true;
        Model::Time pausedUntil;
        Model::Duration clockOffset {};
        Model::Time nextPlan;
        std::vector<Waiting> waiting;
    };
    struct Message {
        Model::Time at;
        std::uint64_t order;
        int from;
        int to;
        std::uint64_t entryIncarnation;
        bool isReply;
        Quota::DrawRequest request;
        Quota::DrawReply reply;

        bool operator<(const Message& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    Host& host(int index) { return m_hosts[static_cast<std::size_t>(index)]; }
    Model::Time localTime(const Host& host) const { return m_now + host.clockOffset; }
    bool isRunning(const Host& host) const { return host.isAlive && m_now >= host.pausedUntil; }
    void send(Message message);
    void deliver(Message message);
    void retryWaiting(Host& host);
    void plan(int index);
    void admitted(const std::string& customer);
    void publishHolders();

    FleetSettings m_settings;
    std::mt19937_64 m_generator;
    std::vector<Host> m_hosts;
    /// For each slot, the index of the holder, or -1.
    std::vector<int> m_holders;
    std::priority_queue<Message> m_messages;
    std::uint64_t m_lastOrder = 0;
    Model::Time m_now { std::chrono::hours(1) };
    Counters m_counters;
    std::map<std::string, Quota::Limits> m_limits;
    std::map<std::string, Bucket> m_idealBuckets;
    std::map<std::string, std::vector<Model::Time>> m_admissions;
};

}
