#pragma once

#include "core/membership/messages.h"
#include "core/membership/roster.h"

#include <deque>
#include <random>
#include <vector>

namespace Membership {

/// A round in which a majority of the roster took part.
struct CompletedRound {
    std::uint64_t id = 0;
    /// The version of the roster whose majority took part. Every host of that majority knows that this
    /// version exists.
    std::uint64_t rosterVersion = 0;
    /// Lower bound of the time at which the round started.
    Model::Time startedAt;
    Model::Time completedAt;
    /// Lower bound of the time of a store success that every host of the majority knows of. Empty if no
    /// such success is known.
    std::optional<Model::Time> commonSuccess;
    /// Time of the newest store success that this host knew of when the round was completed.
    std::optional<Model::Time> newestSuccess;
};

/// Determines whether a majority of the roster is in contact. A host that starts a round chooses a higher
/// id than any it has seen. Each host that receives the id in an acknowledgement adds itself to the round's
/// set of hosts; the sets are merged with each further acknowledgement. A host in the set was therefore
/// reachable, directly or through other hosts, after the round had started. Its knowledge of the store at
/// that time was passed on by the same acknowledgements.
class ContactRounds {
public:
    explicit ContactRounds(std::string ownName);

    /// Ignores a roster whose version is not newer than that of the current one.
    void setRoster(const Roster& roster);
    const Roster& roster() const { return m_roster; }
    /// Records that a roster of this version exists.
    void rosterVersionKnown(std::uint64_t version);
    std::uint64_t newestRosterVersion() const { return m_newestRosterVersion; }
    /// Lets this host take part in rounds. Not to be called before this process has read the roster from
    /// the store: until then it may lack information that an earlier incarnation had when it took part in
    /// a round.
    void takePart();
    /// Starts a round unless the current one is younger than `roundInterval`.
    void start(Model::Time now, std::optional<Model::Time> newestSuccess, std::mt19937_64& generator);
    /// Checks that the roster version and the round number of the payload are not implausibly high.
    /// Errors: `InvalidRequest`.
    Model::Result<void> check(const Payload& payload) const;
    /// Merges a report from the acknowledgement of a message that this host sent at `sentAt`.
    /// `newestSuccess` takes the store success in the same acknowledgement into account. Ignores a report
    /// of an older or expired round.
    void merge(const RoundReport& report, Model::Time sentAt, Model::Time now,
        std::optional<Model::Time> newestSuccess);

    /// The state of the current round; empty if no round is running.
    std::optional<RoundReport> report(Model::Time now) const;
    bool isRunning(Model::Time now) const;
    bool isCompleted() const { return !m_completed.empty() && m_completed.back().id == m_round.id; }
    std::uint64_t id() const { return m_round.id; }
    /// The rounds of the last minute in which a majority took part, oldest first.
    const std::deque<CompletedRound>& completed() const { return m_completed; }

private:
    struct Round {
        std::uint64_t id = 0;
        Model::Time startedAt;
        std::optional<Model::Time> commonSuccess;
        std::uint64_t rosterVersion = 0;
        ContactBitmap hosts;
    };

    void complete(Model::Time now, std::optional<Model::Time> newestSuccess);
    void addSelf();
    bool isMajorityPresent() const;

    std::string m_ownName;
    Roster m_roster;
    std::uint64_t m_newestRosterVersion = 0;
    ContactBitmap m_names;
    /// The names that are in both the previous and the current version, without the bits that they share
    /// with a name which the current version added.
    ContactBitmap m_previousNames;
    bool m_takesPart = false;
    Round m_round;
    std::deque<CompletedRound> m_completed;
};

}
