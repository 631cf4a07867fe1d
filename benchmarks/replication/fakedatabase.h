#pragma once

#include "core/replication/action.h"
#include "core/replication/member.h"

#include <optional>
#include <vector>

/// A member of a group with the semantics of docs/design.md, section 3. Runs in memory, without a network.
class FakeDatabase {
public:
    struct Entry {
        std::uint64_t term = 0;
        /// Identifies the write and serves as its request id; 0 for the empty entry of a promotion.
        std::uint64_t value = 0;
        /// When the primary appended the entry.
        Model::Time at {};
    };

    Replication::Report status() const;
    Model::LogPosition lastEntry() const;
    const std::vector<Entry>& log() const { return m_log; }
    std::uint64_t promisedTerm() const { return m_promisedTerm; }
    bool isPrimary() const { return m_isPrimary; }
    /// The index of the followed primary; -1 if there is none.
    int followed() const { return m_followed; }
    /// Whether the log has `value` at the position of `entry`.
    bool holds(Model::LogPosition entry, std::uint64_t value) const;

    Replication::FenceAnswer fence(std::uint64_t term);
    Replication::TermAnswer promote(std::uint64_t term, Model::Time now);
    Replication::TermAnswer follow(std::uint64_t term, int primary);
    /// Returns the entry of the write; `std::nullopt` if the write is rejected with `stale_term`. A repeated
    /// `value` returns the entry of the first attempt.
    std::optional<Model::LogPosition> write(std::uint64_t term, std::uint64_t value, Model::Time now);
    /// Copies the entries whose age is at least `lag` from the followed primary, and removes own entries that
    /// conflict with its log.
    void replicate(const FakeDatabase& primary, Model::Duration lag, Model::Time now);
    /// Restarts the database. The log and the promised term are kept; the role and the followed primary are
    /// lost.
    void restart();

private:
    std::uint64_t m_promisedTerm = 0;
    std::vector<Entry> m_log;
    bool m_isPrimary = false;
    int m_followed = -1;
    std::uint64_t m_followedTerm = 0;
};
