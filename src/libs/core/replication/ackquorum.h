#pragma once

#include "core/model/logposition.h"
#include "core/replication/memberview.h"

#include <span>

namespace Replication {

enum class Confirmation : std::uint8_t {
    /// A majority holds the entry in its term, so that it survives every promotion.
    Confirmed,
    /// The entry is not confirmed yet.
    Pending,
    /// A majority has promised a higher term: the entry can no longer be confirmed in its term, and it is
    /// unknown whether it survives.
    Superseded,
};

/// Determines which entries are confirmed by a majority, so that writes up to them may be acknowledged. Uses
/// only the terms and entries that members report, never time. Not thread-safe: the caller holds the group's
/// mutex.
class AckQuorum {
public:
    /// Recomputes the highest confirmed entry from the current view of the members.
    void update(std::span<const MemberView> members);
    Confirmation confirmation(Model::LogPosition entry, std::span<const MemberView> members) const;
    /// The highest confirmed entry.
    Model::LogPosition confirmed() const { return m_confirmed; }

private:
    Model::LogPosition m_confirmed;
    /// The highest confirmed entry of the previous term, for writes of that term that still await their
    /// response.
    Model::LogPosition m_confirmedBefore;
};

/// The position that must be confirmed before a write that ran in `term` and returned `entry` is
/// acknowledged. A repeated request id may return an entry of an older term; that entry is safe as soon as
/// any entry of `term` is confirmed.
Model::LogPosition positionToConfirm(std::uint64_t term, Model::LogPosition entry);

/// Whether so many members have promised a term above `term` that no majority can confirm an entry in
/// `term` any more.
bool isSuperseded(std::uint64_t term, std::span<const MemberView> members);

}
