#pragma once

#include "core/membership/gossip.h"
#include "core/membership/hostlease.h"
#include "core/membership/leaseobserver.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

using Model::Duration;
/// Simulated time of the whole fleet. Each host has a clock of its own with an offset and a rate.
using Model::Time;
using namespace std::chrono_literals;

struct FleetOptions {
    int hosts = 5;
    std::uint64_t seed = 1;
    /// Whether to simulate quota slots, leases and store reads in addition to gossip.
    bool withStore = true;
    /// Probability that a message is lost.
    double loss = 0;
    /// Probability that a message is sent twice.
    double duplicates = 0;
    /// Probability that a message, or an operation or response of the store, is delayed by up to `lateness`
    /// instead of 4 ms.
    double late = 0;
    Duration lateness = 3s;
    /// Probability that a response of the store is lost.
    double lostStoreResponses = 0;
    /// Clock rates are between 1 - drift and 1 + drift, relative to simulated time.
    double drift = 0;
    Duration tickInterval = 200ms;
};

struct SlotRow {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
};

struct SimulatedHost {
    std::string name;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool running = true;
    bool reachesStore = true;
    /// Network partition of the host. Messages between different groups are lost.
    int group = 0;
    /// The host receives messages, but messages that it sends are lost.
    bool cannotSend = false;
    Time pausedUntil;
    Duration clockOffset {};
    double clockRate = 1;

    std::unique_ptr<Membership::ContactTracker> contact;
    std::unique_ptr<Membership::Gossip> gossip;
    Membership::HostLease lease;
    std::map<std::string, Membership::LeaseObserver> observers;
    /// The lease generation under which each slot was acquired, by slot.
    std::map<int, std::uint64_t> heldSlots;
    std::vector<SlotRow> slotRows;
    Time slotRowsReadAt;
    std::uint64_t renewalCounter = 0;
    Time nextPoll;
    Time nextObservation;

    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::vector<Membership::MemberEvent> events;

    Time localTime(Time now) const
    {
        return Time(clockOffset
            + Duration(
                static_cast<Duration::rep>(static_cast<double>(now.time_since_epoch().count()) * clockRate)));
    }
};

/// Discrete-event simulation of a fleet of hosts with a network and a store. Runs with the same options are
/// identical.
class Fleet {
public:
    explicit Fleet(FleetOptions options);

    void run(Duration duration);
    void restart(SimulatedHost& host);
    void crash(SimulatedHost& host) { host.running = false; }
    void pause(SimulatedHost& host, Duration duration) { host.pausedUntil = now + duration; }
    /// Schedules `action` for `time`.
    void at(Time time, std::function<void()> action);

    bool mayServe(const SimulatedHost& host, int slot) const;
    /// The number of hosts that may now serve each slot, by slot.
    std::vector<int> holderCounts() const;
    Membership::ContactState contactState(const SimulatedHost& host) const;
    /// The entry for `other` in the membership view of `host`; null if there is none.
    const Membership::Member* viewOf(const SimulatedHost& host, const SimulatedHost& other) const;
    /// Whether exactly the running hosts are live in the views of all running hosts, with their current
    /// incarnations and without suspicions.
    bool hasConverged() const;

    FleetOptions options;
    std::mt19937_64 generator;
    Time now { 1h };
    std::vector<SimulatedHost> hosts;
    std::vector<SlotRow> slots;
    Membership::Roster roster;
    /// Called after each event.
    std::function<void()> check;
    /// Number of received messages that a host rejected.
    std::uint64_t errors = 0;

private:
    struct Event {
        Time time;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    void tick(SimulatedHost& host);
    void send(SimulatedHost& from, Membership::GossipOutput output);
    void deliver(SimulatedHost& to, std::uint64_t incarnation, const Membership::IncomingMessage& message);
    /// Runs `effect` in the store, then calls `done` with whether the host received the response and the
    /// local time at which the access started.
    void accessStore(
        SimulatedHost& host, std::function<void()> effect, const std::function<void(bool, Time)>& done);
    void renewLease(SimulatedHost& host);
    void observeLeases(SimulatedHost& host);
    void changeRoster(SimulatedHost& host);
    void pullRoster(SimulatedHost& host, const std::string& peerName);
    void acquireSlots(SimulatedHost& host);
    void acquire(SimulatedHost& host, int slot, std::uint64_t version);
    Duration delay();
    bool chance(double probability) { return std::bernoulli_distribution(probability)(generator); }

    std::map<std::string, Membership::LeaseRow> m_leases;
    /// A heap. With `std::priority_queue`, each event would have to be copied on removal.
    std::vector<Event> m_queue;
    std::uint64_t m_sequence = 0;
};
