#pragma once

#include "core/replication/group.h"
#include "fakedatabase.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>

struct SimulationSettings {
    std::uint64_t seed = 1;
    std::size_t hosts = 2;
    std::vector<std::string> zones { "a", "b", "c" };
    Model::Duration oneWayLatency { 1000 };
    Model::Duration jitter { 1000 };
    Model::Duration replicationInterval { 10000 };
    Model::Duration statementInterval { 60000 };
    /// Baselines: acknowledge on the primary's response, and read from the primary only.
    bool confirmWrites = true;
    bool replicaReads = true;
};

/// Fake databases, the I/O layer of several competing owners, and sessions that write and read, in
/// simulated time. Checks every acknowledgement and read.
class Simulation {
public:
    struct Acknowledgement {
        std::uint64_t value = 0;
        Model::LogPosition entry;
        std::uint64_t confirmedTerm = 0;
        Model::Time arrivedAt {};
        Model::Time at {};
    };

    struct Counts {
        std::uint64_t unknown = 0;
        std::uint64_t refused = 0;
        std::uint64_t replicaReads = 0;
        std::uint64_t primaryReads = 0;
        std::uint64_t refusedReads = 0;
        std::uint64_t probes = 0;
        std::uint64_t promotions = 0;
        std::uint64_t lostWrites = 0;
        std::uint64_t violations = 0;
    };

    explicit Simulation(SimulationSettings settings);

    void at(Model::Time time, std::function<void()> event);
    void run(Model::Time until);
    Model::Time now() const { return m_now; }
    std::mt19937_64& generator() { return m_generator; }
    std::uint64_t random(std::uint64_t bound) { return m_generator() % bound; }

    void setDatabaseUp(std::size_t database, bool up);
    void freezeDatabase(std::size_t database, Model::Duration duration);
    void setLag(std::size_t database, Model::Duration lag) { m_databases[database].lag = lag; }
    void setHostLink(std::size_t host, std::size_t database, bool up);
    void setDatabaseLink(std::size_t left, std::size_t right, bool up);
    /// The open connections between the two go silent; new ones work.
    void makeUnresponsive(std::size_t host, std::size_t database)
    {
        link(host, database).isUnresponsive = true;
    }
    void setLossPercent(std::uint64_t percent) { m_lossPercent = percent; }
    void pauseHost(std::size_t host, Model::Duration duration);
    /// Ends the host's process; a new one starts if `up`.
    void restartHost(std::size_t host, bool up);
    void configure(std::size_t database, Replication::MemberState state);

    /// Compares the log with the highest last entry with the acknowledgements.
    void checkSurvivingLog();
    /// The first violation, or empty; those of a baseline are only counted.
    const std::string& failure() const { return m_failure; }
    const std::vector<Acknowledgement>& acknowledgements() const { return m_acknowledgements; }
    const Counts& counts() const { return m_counts; }
    Replication::Group& group(std::size_t host) { return *m_hosts[host].group; }

private:
    using Event = std::function<void()>;
    struct TimedEvent {
        Model::Time time;
        std::uint64_t sequence;
        std::shared_ptr<Event> run;
        bool operator>(const TimedEvent& other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    struct Link {
        bool isUp = true;
        bool isUnresponsive = false;
    };

    struct Poll {
        Model::LogPosition atLeast;
        Model::Time deadline;
        Event answer;
    };

    struct Database {
        FakeDatabase data;
        bool isUp = true;
        Model::Time frozenUntil {};
        Model::Duration lag {};
        std::vector<Poll> polls;
    };

    struct Write {
        std::uint64_t value = 0;
        std::size_t session = 0;
        Model::Time arrivedAt {};
        Model::LogPosition entry {};
        Model::LogPosition toConfirm {};
    };

    struct Read {
        std::size_t session = 0;
        Model::LogPosition entry;
        std::uint64_t value = 0;
        std::optional<Model::Duration> maxAge;
        Model::Time arrivedAt {};
    };

    struct Host {
        std::unique_ptr<Replication::Group> group;
        std::uint64_t incarnation = 0;
        Model::Time pausedUntil {};
        std::vector<Link> links;
        /// The number of the open position poll at each database; 0 if none.
        std::vector<std::uint64_t> openPolls;
        std::vector<Write> queuedWrites;
        std::vector<Write> sentWrites;
        std::vector<Read> queuedReads;
        std::size_t running = 0;
    };

    struct Session {
        Model::LogPosition entry;
        std::uint64_t value = 0;
    };

    Link& link(std::size_t host, std::size_t database) { return m_hosts[host].links[database]; }
    std::vector<Replication::Member> configuration() const;
    Model::Duration delay();
    void runOnHost(std::size_t host, std::uint64_t incarnation, Event event);
    /// `execute` runs at the database and returns what runs at the host on its response; `lost` runs at
    /// the host if no response arrives in time.
    void call(std::size_t host, std::size_t database, Replication::ConnectionKind connection,
        std::function<Event()> execute, Event lost);
    void deliver(std::size_t host, std::size_t database,
        const std::shared_ptr<std::function<Event()>>& execute, const std::function<void(Event)>& answer);
    void replicateAll();
    void answerPolls(Database& database);

    void tick(std::size_t host, std::uint64_t incarnation);
    void act(std::size_t host);
    void perform(std::size_t host, const Replication::Action& action);
    void probe(std::size_t host, const Replication::Probe& probe);
    void poll(std::size_t host);
    void observe(
        std::size_t host, std::size_t database, const Replication::Report& report, Model::Time sentAt);
    bool closePoll(std::size_t host, std::size_t database, std::uint64_t number);
    void resolveWrites(std::size_t host);
    void issueStatements(std::size_t host);
    bool tryWrite(std::size_t host, const Write& write);
    bool tryRead(std::size_t host, const Read& read);
    void sendRead(std::size_t host, const Read& read, const Replication::ReadRoute& route);
    void acknowledge(const Write& write);
    void checkRead(const Database& database, const Read& read, std::optional<Model::Time> notOlderThan);
    void checkPromoted(const FakeDatabase& database);
    void fail(const std::string& what);

    SimulationSettings m_settings;
    std::mt19937_64 m_generator;
    Model::Time m_now {};
    std::uint64_t m_sequence = 0;
    std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>> m_events;
    std::vector<Database> m_databases;
    std::vector<std::vector<bool>> m_databaseLinks;
    std::vector<Replication::MemberState> m_states;
    std::vector<Host> m_hosts;
    std::vector<Session> m_sessions;
    std::vector<std::uint64_t> m_unknownValues;
    std::uint64_t m_lossPercent = 0;
    std::uint64_t m_nextValue = 1;
    std::vector<Acknowledgement> m_acknowledgements;
    Counts m_counts;
    std::string m_failure;
};

constexpr Model::Time simulated(Model::Duration sinceStart)
{
    return Model::Time {} + std::chrono::hours(1) + sinceStart;
}
