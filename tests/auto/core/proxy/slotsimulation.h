#pragma once

#include "core/proxy/engine.h"

#include <map>
#include <memory>
#include <random>
#include <string>

/// Replays seeded load, in simulated time, on an engine that schedules statements, in front of three
/// upstreams with 4 slots each: the primary `p` and the replicas `q` and `r`. Like the real ones, they answer
/// `Busy` if all slots are taken, and opening a connection takes a slot for 12 ms.
class SlotSimulation {
public:
    struct Load {
        std::string route;
        std::string customer;
        double perSecond = 0;
        double writeShare = 0;
        double transactionShare = 0;
        Model::Duration meanTime {};
        /// Time that a caller lets pass between two statements of a transaction.
        Model::Duration thinkTime {};
        Model::Time from;
        Model::Time until;
    };
    struct Outcome {
        int offered = 0;
        int onTime = 0;
        int late = 0;
        int failed = 0;

        double onTimeShare() const { return double(onTime) / std::max(1, offered); }
        double servedShare() const { return double(onTime + late) / std::max(1, offered); }
    };

    explicit SlotSimulation(std::uint64_t seed, int maxConnections = 56);

    void addRoute(const std::string& name, Directory::RouteKind kind, int priority, Model::Duration target,
        Model::Duration timeout);
    void add(const Load& load);
    /// Starts an operation at `at`.
    void addOperation(const Load& load, Model::Time at);
    void run(Model::Time until);
    /// Lets other hosts take slots of each upstream.
    void setForeignSlots(int slots) { m_foreignSlots = slots; }

    Outcome total(const std::string& route) const;
    Outcome ofCustomer(const std::string& customer) const;
    /// Text of the last answer that was an error.
    const std::string& lastError() const { return m_lastError; }
    int busyAnswers() const { return m_busyAnswers; }
    int opened() const { return m_opened; }
    int completedStatements() const { return m_completedStatements; }
    const std::vector<Proxy::Decision>& decisions() const { return m_decisions; }
    Proxy::Engine& engine() { return *m_engine; }

private:
    struct Operation {
        Load load;
        Model::Time startedAt;
        int attempts = 0;
        bool isWrite = false;
        bool isTransaction = false;
        /// Replies received in this attempt.
        int replies = 0;
    };
    struct Link {
        std::string upstream;
        Model::Time freeAt;
        bool isInTransaction = false;
        bool isClosed = false;
        bool isInSlot = false;
    };
    struct Upstream {
        int used = 0;
        int connections = 0;
    };

    /// Route and customer.
    using OutcomeKey = std::pair<std::string, std::string>;

    Outcome sum(const std::function<bool(const OutcomeKey&)>& matches) const;
    Proxy::EngineHooks hooks();
    void at(Model::Time time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }
    void arrive(const Load& load);
    void start(Operation operation);
    void replied(Proxy::SessionId id, const Proxy::Reply& reply);
    void advance(Proxy::SessionId id, const Proxy::Reply& reply);
    void sendNext(Proxy::SessionId id);
    void end(Proxy::SessionId id, const Proxy::Reply& reply);
    void connect(Proxy::ConnectionId id, const std::string& upstream);
    void execute(Proxy::ConnectionId id, const Proxy::Command& command);
    bool takeSlot(Proxy::ConnectionId id);
    void leaveSlot(Proxy::ConnectionId id);
    void close(Proxy::ConnectionId id);
    Model::Duration random(Model::Duration mean);

    std::mt19937_64 m_generator;
    Directory::View m_view;
    Directory::Configuration m_configuration;
    std::multimap<Model::Time, std::function<void()>> m_events;
    Model::Time m_now { std::chrono::seconds(100) };
    std::map<std::string, Upstream> m_upstreams;
    std::map<Proxy::ConnectionId, Link> m_links;
    std::map<Proxy::SessionId, Operation> m_operations;
    std::map<OutcomeKey, Outcome> m_outcomes;
    std::vector<Proxy::Decision> m_decisions;
    std::unique_ptr<Proxy::Engine> m_engine;
    Proxy::SessionId m_lastSession = 0;
    std::uint64_t m_position = 1;
    std::string m_lastError;
    int m_maxConnections;
    int m_foreignSlots = 0;
    int m_busyAnswers = 0;
    int m_opened = 0;
    int m_completedStatements = 0;
};
