#pragma once

#include "core/replication/action.h"
#include "core/replication/member.h"

#include <optional>
#include <vector>

/// One member of a group with the semantics of section 3 of docs/design.md, without a network.
class FakeDatabase {
public:
    struct Entry {
        std::uint64_t term = 0;
        /// Identifies the write and serves as its request id; 0 for the entry of a promotion.
        std::uint64_t value = 0;
        Model::Time at {};
    };

    Replication::Report status() const;
    Model::LogPosition lastEntry() const;
    const std::vector<Entry>& log() const { return m_log; }
    std::uint64_t promisedTerm() const { return m_promisedTerm; }
    bool isPrimary() const { return m_isPrimary; }
    int followed() const { return m_followed; }
    bool holds(Model::LogPosition entry, std::uint64_t value) const;

    Replication::FenceAnswer fence(std::uint64_t term);
    Replication::TermAnswer promote(std::uint64_t term, Model::Time now);
    Replication::TermAnswer follow(std::uint64_t term, int primary);
    /// Nothing if refused with `stale_term`.
    std::optional<Model::LogPosition> write(std::uint64_t term, std::uint64_t value, Model::Time now);
    /// Copies the entries that are older than `lag` from the followed primary.
    void replicate(const FakeDatabase& primary, Model::Duration lag, Model::Time now);
    /// The log and the promised term survive, the role and the followed primary do not.
    void restart();

private:
    std::uint64_t m_promisedTerm = 0;
    std::vector<Entry> m_log;
    bool m_isPrimary = false;
    int m_followed = -1;
    std::uint64_t m_followedTerm = 0;
};
