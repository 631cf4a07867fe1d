#pragma once

#include "core/model/logposition.h"
#include "core/replication/memberview.h"

#include <span>

namespace Replication {

enum class Confirmation : std::uint8_t {
    /// The entry is on a majority in its term and survives every promotion.
    Confirmed,
    Pending,
    /// A majority has promised a higher term: the entry can no longer be confirmed in its term, and
    /// whether it survives is not known.
    Superseded,
};

/// Determines which entries may be acknowledged. Rests on the terms that the members report, never on
/// time. Used under the group's mutex.
class AckQuorum {
public:
    /// Takes the present reports into account.
    void update(std::span<const MemberView> members);
    Confirmation confirmation(Model::LogPosition entry, std::span<const MemberView> members) const;
    /// The highest confirmed entry.
    Model::LogPosition confirmed() const { return m_confirmed; }

private:
    Model::LogPosition m_confirmed;
    /// The highest confirmed entry of the term before, for writes that are still to be answered.
    Model::LogPosition m_confirmedBefore;
};

/// The position that must be confirmed before a write is acknowledged that ran in `term` and returned
/// `entry`. A repeated request id returns an entry of an older term; that entry is safe once any entry of
/// the term in which the primary returned it is confirmed.
Model::LogPosition positionToConfirm(std::uint64_t term, Model::LogPosition entry);

/// Whether enough members have promised a term above `term` that nothing is confirmed in it any more.
bool isSuperseded(std::uint64_t term, std::span<const MemberView> members);

}
