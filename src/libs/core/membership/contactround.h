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
    /// The version of the roster whose majority took part. Every host of the majority knows of it.
    std::uint64_t rosterVersion = 0;
    /// Lower bound of the time at which the round started.
    Model::Time startedAt;
    Model::Time completedAt;
    /// The store success that every host of the majority knows of; a lower bound of its time.
    std::optional<Model::Time> commonSuccess;
    /// The newest store success that this host knew of when the round was completed.
    std::optional<Model::Time> newestSuccess;
};

/// Counts the hosts that are in contact with one another. A host that starts a round chooses a higher id
/// than any it has seen. Each host that learns of the id from an acknowledgement adds itself, and the sets
/// are merged along further acknowledgements. A member of the set therefore was in contact, through some
/// chain of hosts, after the round started, and everything it knew then about the store came with it.
class ContactRounds {
public:
    explicit ContactRounds(std::string ownName);

    /// Ignores a version that is not newer than the present one.
    void setRoster(const Roster& roster);
    const Roster& roster() const { return m_roster; }
    void rosterVersionKnown(std::uint64_t version);
    std::uint64_t newestRosterVersion() const { return m_newestRosterVersion; }
    /// Lets this host take part in rounds. Until a process has read the roster from the store itself, it
    /// may lack what its predecessor knew when it took part in a round.
    void takePart();
    /// Starts a round unless a present one is younger than `roundInterval`.
    void start(Model::Time now, std::optional<Model::Time> newestSuccess, std::mt19937_64& generator);
    /// Whether the round of a report may be merged. Errors: `InvalidRequest`.
    Model::Result<void> check(const Payload& payload) const;
    /// Merges a report from an acknowledgement of a message that was sent at `sentAt`. `newestSuccess`
    /// includes the evidence that came with the report.
    void merge(const RoundReport& report, Model::Time sentAt, Model::Time now,
        std::optional<Model::Time> newestSuccess);

    std::optional<RoundReport> report(Model::Time now) const;
    bool isRunning(Model::Time now) const;
    bool isCompleted() const { return !m_completed.empty() && m_completed.back().id == m_round.id; }
    std::uint64_t id() const { return m_round.id; }
    /// The rounds of the last minute that a majority took part in.
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
    /// Bits that only names of the previous version have which are in the present one as well.
    ContactBitmap m_previousNames;
    bool m_takesPart = false;
    Round m_round;
    std::deque<CompletedRound> m_completed;
};

}
