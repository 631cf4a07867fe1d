#pragma once

#include "core/replication/group.h"
#include "fakedatabase.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>

/// Settings of a simulation. Durations are in microseconds.
struct SimulationSettings {
    std::uint64_t seed = 1;
    /// Number of hosts, each of which acts as an owner of the group.
    std::size_t hosts = 2;
    /// The availability zones of the databases; one database per element.
    std::vector<std::string> zones { "a", "b", "c" };
    /// Network latency of a message, without the jitter.
    Model::Duration oneWayLatency { 1000 };
    /// Maximum random addition to the latency of a message.
    Model::Duration jitter { 1000 };
    Model::Duration replicationInterval { 10000 };
    /// Mean time between two statements of a host.
    Model::Duration statementInterval { 60000 };
    /// Acknowledge writes only after a majority confirmed them. The baseline acknowledges them on the
    /// primary's response.
    bool confirmWrites = true;
    /// Read from replicas. The baseline reads only from the primary.
    bool replicaReads = true;
};

/// Simulates fake databases, the I/O layer of several competing owners, and sessions that write and read, in
/// simulated time. Checks every acknowledgement and read.
class Simulation {
public:
    struct Acknowledgement {
        std::uint64_t value = 0;
        Model::LogPosition entry;
        /// The term in which the write was confirmed.
        std::uint64_t confirmedTerm = 0;
        /// When the write arrived at the host.
        Model::Time arrivedAt {};
        /// When the write was acknowledged.
        Model::Time at {};
    };

    struct Counts {
        /// Writes with an unknown outcome.
        std::uint64_t unknown = 0;
        /// Writes rejected without running.
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

    /// Schedules an event.
    void at(Model::Time time, std::function<void()> event);
    /// Runs the events up to `until`, or up to the first violation.
    void run(Model::Time until);
    Model::Time now() const { return m_now; }
    std::mt19937_64& generator() { return m_generator; }
    /// A random number below `bound`.
    std::uint64_t random(std::uint64_t bound) { return m_generator() % bound; }

    void setDatabaseUp(std::size_t database, bool up);
    /// Pauses the database: it handles requests only after `duration`.
    void freezeDatabase(std::size_t database, Model::Duration duration);
    void setLag(std::size_t database, Model::Duration lag) { m_databases[database].lag = lag; }
    void setHostLink(std::size_t host, std::size_t database, bool up);
    void setDatabaseLink(std::size_t left, std::size_t right, bool up);
    /// Makes the open connections between the two unresponsive, until the host probes on a new one. New
    /// connections work.
    void makeUnresponsive(std::size_t host, std::size_t database)
    {
        link(host, database).isUnresponsive = true;
    }
    void setLossPercent(std::uint64_t percent) { m_lossPercent = percent; }
    /// Pauses the host's process: it handles events only after `duration`.
    void pauseHost(std::size_t host, Model::Duration duration);
    /// Ends the host's process. Starts a new one if `up` is true.
    void restartHost(std::size_t host, bool up);
    /// Changes the configured state of a member on all hosts.
    void configure(std::size_t database, Replication::MemberState state);

    /// Checks the log with the highest last entry: it has to contain every acknowledged write, and no write
    /// twice.
    void checkSurvivingLog();
    /// Describes the first violation; empty if there is none. Violations of a baseline are only counted.
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

    /// A position poll that waits at a database for its last entry to reach `atLeast`.
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
        /// By database: the number of the open position poll; 0 if there is none.
        std::vector<std::uint64_t> openPolls;
        std::vector<Write> queuedWrites;
        /// Writes that returned an entry and await their confirmation.
        std::vector<Write> sentWrites;
        std::vector<Read> queuedReads;
        /// The number of writes whose response is outstanding.
        std::size_t running = 0;
    };

    /// The latest acknowledged write of a session.
    struct Session {
        Model::LogPosition entry;
        std::uint64_t value = 0;
    };

    Link& link(std::size_t host, std::size_t database) { return m_hosts[host].links[database]; }
    std::vector<Replication::Member> configuration() const;
    Model::Duration delay();
    /// Runs the event as soon as the host is not paused. Discards it if the host's process was restarted.
    void runOnHost(std::size_t host, std::uint64_t incarnation, Event event);
    /// Makes a call. `execute` runs at the database and returns the event that handles the response at the
    /// host. `lost` runs at the host if no response arrives in time.
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
    /// Returns whether the poll with this number was still open.
    bool closePoll(std::size_t host, std::size_t database, std::uint64_t number);
    /// Acknowledges the confirmed writes, and gives those an unknown outcome that cannot be confirmed or have
    /// exceeded their deadline.
    void resolveWrites(std::size_t host);
    /// Issues one write and one read of random sessions.
    void issueStatements(std::size_t host);
    /// Sends or rejects the statement. Returns false if it has to stay queued.
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

/// The simulated time at `sinceStart` after the start of a simulation.
constexpr Model::Time simulated(Model::Duration sinceStart)
{
    return Model::Time {} + std::chrono::hours(1) + sinceStart;
}
