#pragma once

#include "core/membership/gossip.h"
#include "core/membership/hostlease.h"
#include "core/membership/leaseobserver.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

/// Simulated time of the whole fleet; each host has its own clock with an offset and a rate.
using Model::Duration;
using Model::Time;
using namespace std::chrono_literals;

struct FleetOptions {
    int hosts = 5;
    std::uint64_t seed = 1;
    /// Quota slots, leases and store reads are simulated; otherwise only gossip is.
    bool withStore = true;
    double loss = 0;
    double duplicates = 0;
    /// Share of messages and store responses that take up to `lateness`.
    double late = 0;
    Duration lateness = 3s;
    double lostStoreResponses = 0;
    /// Clocks run between 1 - drift and 1 + drift times as fast as simulated time.
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
    /// Hosts of different groups do not reach each other.
    int group = 0;
    /// Receives but cannot send.
    bool cannotSend = false;
    Time pausedUntil;
    Duration clockOffset {};
    double clockRate = 1;

    std::unique_ptr<Membership::ContactTracker> contact;
    std::unique_ptr<Membership::Gossip> gossip;
    Membership::HostLease lease;
    std::map<std::string, Membership::LeaseObserver> observers;
    /// Slots by the lease generation under which they were acquired.
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

/// A fleet of hosts with a network and a store, run by one event queue. The same options give the same run.
class Fleet {
public:
    explicit Fleet(FleetOptions options);

    void run(Duration duration);
    void restart(SimulatedHost& host);
    void crash(SimulatedHost& host) { host.running = false; }
    void pause(SimulatedHost& host, Duration duration) { host.pausedUntil = now + duration; }
    void at(Time time, std::function<void()> action);

    bool mayServe(const SimulatedHost& host, int slot) const;
    /// The number of hosts that may serve each slot now.
    std::vector<int> holderCounts() const;
    Membership::ContactState contactState(const SimulatedHost& host) const;
    const Membership::Member* viewOf(const SimulatedHost& host, const SimulatedHost& other) const;
    /// Whether all running hosts hold exactly the running hosts for live.
    bool hasConverged() const;

    FleetOptions options;
    std::mt19937_64 generator;
    Time now { 1h };
    std::vector<SimulatedHost> hosts;
    std::vector<SlotRow> slots;
    Membership::Roster roster;
    /// Called after each event.
    std::function<void()> check;
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
    /// Runs `effect` in the store and then `done` with whether the host received the response.
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
    /// A heap; `std::priority_queue` would copy each event that it returns.
    std::vector<Event> m_queue;
    std::uint64_t m_sequence = 0;
};
