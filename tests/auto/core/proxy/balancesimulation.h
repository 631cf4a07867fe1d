#pragma once

#include "core/proxy/router.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Hosts in zones `a`, `b` and `c` that read from one service. The upstreams have a limited number of slots
/// and answer `BUSY` beyond it; a write of another host on the primary is not simulated.
class BalanceSimulation {
public:
    struct Upstream {
        Directory::Upstream entry;
        Model::Duration execution = std::chrono::milliseconds(14);
        double failing = 0;
        double falselyBusy = 0;
        int running = 0;
        /// When statements were received.
        std::vector<Model::Time> received;
    };
    struct Counts {
        int finished = 0;
        int refused = 0;
        int retries = 0;
        int leftZone = 0;
        Model::Duration time {};
    };

    explicit BalanceSimulation(std::uint64_t seed, int hostsPerZone = 6, int slots = 4);

    /// Adds an upstream `id` in the zone; all hosts know it at once.
    Upstream& addUpstream(const std::string& id, const std::string& zone,
        Directory::Role role = Directory::Role::Replica, Model::Duration coldFor = {});
    Upstream& upstream(const std::string& id) { return m_upstreams.at(id); }
    Directory::Configuration& configuration() { return *m_configuration; }
    /// Runs with the given number of reads per second in each zone, and returns what was counted by zone.
    std::map<std::string, Counts> run(Model::Duration duration, const std::map<std::string, double>& rates);
    /// The statements that an upstream received in the last `duration`, per second.
    double receivedRate(const std::string& id, Model::Duration duration) const;
    Model::Time now() const { return m_now; }
    /// Mean share of the reads that leave the zone, over the zone's hosts.
    double shareLeaving(const std::string& zone) const;

    /// The changes that the hosts reported, and their subjects.
    const std::vector<std::pair<Proxy::BalanceChange, std::string>>& changes() const { return m_changes; }

private:
    struct Host {
        std::string zone;
        Proxy::Pool pool;
        Failover::Reachability reachability;
        std::unique_ptr<Proxy::Router> router;
    };
    struct Event {
        Model::Time at;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void schedule(Model::Duration delay, std::function<void()> act);
    void arrive(const std::string& zone);
    void attempt(Host& host, const std::shared_ptr<Proxy::Session>& session);
    void answered(Host& host, const std::shared_ptr<Proxy::Session>& session, Proxy::ConnectionId connection,
        Proxy::ResultCode code, Model::Time sentAt);
    bool happens(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
    }

    std::vector<std::pair<Proxy::BalanceChange, std::string>> m_changes;
    std::mt19937_64 m_random;
    int m_slots;
    Model::Time m_now { std::chrono::seconds(100) };
    Directory::View m_view;
    std::shared_ptr<Directory::Configuration> m_configuration;
    std::map<std::string, Upstream> m_upstreams;
    std::map<std::string, std::vector<std::unique_ptr<Host>>> m_hosts;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    Proxy::SessionId m_lastSession = 0;
    std::map<std::string, Counts> m_counts;
    std::map<std::string, double> m_rates;
    Model::Time m_end;
    std::map<std::string, bool> m_arriving;
};
