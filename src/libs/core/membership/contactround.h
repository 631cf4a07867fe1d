#pragma once

#include "core/membership/messages.h"

#include <deque>
#include <random>
#include <vector>

namespace Membership {

/// A round in which a majority of the roster took part.
struct CompletedRound {
    std::uint64_t id = 0;
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

    void setRoster(const std::vector<std::string>& names);
    /// Starts a round unless a present one is younger than `roundInterval`.
    void start(Model::Time now, std::optional<Model::Time> newestSuccess, std::mt19937_64& generator);
    /// Whether the round of a report may be merged. Errors: `InvalidRequest`.
    Model::Result<void> check(const RoundReport& report) const;
    /// Merges a report from an acknowledgement of a message that was sent at `sentAt`. `newestSuccess`
    /// includes the evidence that came with the report.
    void merge(const RoundReport& report, Model::Time sentAt, Model::Time now,
        std::optional<Model::Time> newestSuccess);

    std::optional<RoundReport> report(Model::Time now) const;
    bool isRunning(Model::Time now) const;
    std::uint64_t id() const { return m_round.id; }
    /// The rounds of the last minute that a majority took part in.
    const std::deque<CompletedRound>& completed() const { return m_completed; }

private:
    struct Round {
        std::uint64_t id = 0;
        Model::Time startedAt;
        std::optional<Model::Time> commonSuccess;
        ContactBitmap hosts;
    };

    void complete(Model::Time now, std::optional<Model::Time> newestSuccess);
    void addSelf();

    std::string m_ownName;
    ContactBitmap m_roster;
    std::size_t m_rosterSize = 0;
    bool m_inRoster = false;
    Round m_round;
    std::deque<CompletedRound> m_completed;
};

}
