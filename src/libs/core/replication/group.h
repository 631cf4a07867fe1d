#pragma once

#include "core/replication/ackquorum.h"
#include "core/replication/action.h"
#include "core/replication/freshness.h"
#include "core/replication/memberview.h"
#include "core/replication/promotion.h"
#include "core/replication/readrouting.h"
#include "core/replication/stalldetector.h"
#include "core/replication/switchover.h"
#include "core/replication/term.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Replication {

/// The primary of a group and its term.
struct Primary {
    std::string member;
    std::uint64_t term = 0;
};

/// The decision where a write runs.
struct WriteRoute {
    enum class Kind : std::uint8_t {
        /// Run on `primary`.
        Run,
        /// Queue the write and route it again, at the latest at `until`.
        Wait,
        /// Reject the write with `no_primary`; it has not run.
        NoPrimary,
    };

    Kind kind = Kind::NoPrimary;
    Primary primary;
    Model::Time until {};
};

/// The replication state of a group as its owner sees it. Determines which member is the primary, when to
/// replace it, which writes are confirmed and where statements run. Makes no calls itself: the I/O layer
/// makes those returned by `nextActions` and reports each result. Several hosts may act as owner of the same
/// group at a time without breaking its guarantees. Not thread-safe: the caller holds a mutex.
class Group {
public:
    Group(std::vector<Member> members, Model::Time now);

    /// Applies a new configuration. Members that remain keep their view. If members are added or removed, a
    /// running promotion attempt is abandoned.
    void replaceMembers(std::vector<Member> members, Model::Time now);
    std::span<const MemberView> members() const { return m_members; }

    /// Records the response of a member to a probe, position poll or other call that was sent at `sentAt`.
    void observeReport(const std::string& member, const Report& report, Model::Time sentAt, Model::Time now);
    /// Records that a write or commit that was sent in `term` returned `entry`. Returns the position that
    /// must be confirmed before the write is acknowledged.
    Model::LogPosition observeWrite(const std::string& member, std::uint64_t term, Model::LogPosition entry,
        Model::Time sentAt, Model::Time now);
    /// Records a call that got no response in time or whose connection failed.
    void observeFailure(const std::string& member, ConnectionKind connection, Model::Time now);
    /// Sets the number of writes and open transactions on the primary; a planned switchover waits for them.
    void setWritesInProgress(std::size_t count) { m_writesInProgress = count; }

    /// Returns the calls to make now. Has to be called after each report and result, and every 20 ms.
    std::vector<Action> nextActions(Model::Time now, Generator& generator);
    /// The results of fence, promote and follow calls. `...Lost` means that there was no response in time;
    /// the call may have taken effect.
    void fenceAnswered(const std::string& member, std::uint64_t term, const FenceAnswer& answer,
        Model::Time sentAt, Model::Time now);
    void fenceLost(const std::string& member, std::uint64_t term, Model::Time now);
    void promoteAnswered(const std::string& member, std::uint64_t term, const TermAnswer& answer,
        Model::Time sentAt, Model::Time now);
    void promoteLost(const std::string& member, std::uint64_t term);
    void followAnswered(const std::string& member, std::uint64_t term, const TermAnswer& answer,
        Model::Time sentAt, Model::Time now);
    void followLost(const std::string& member, Model::Time now);

    /// The member that is the primary and its term; `std::nullopt` during a promotion, or if the primary is
    /// unknown, failed or superseded.
    std::optional<Primary> primary(Model::Time now) const;
    bool isPromoting() const { return m_promotion.has_value(); }
    bool isHoldingWrites() const { return m_switchover.isHolding(); }

    /// Whether a majority has confirmed the entry in its term, or no longer can.
    Confirmation confirmation(Model::LogPosition entry) const;
    bool isConfirmed(Model::LogPosition entry) const
    {
        return confirmation(entry) == Confirmation::Confirmed;
    }
    /// The highest confirmed entry.
    Model::LogPosition confirmed() const { return m_quorum.confirmed(); }

    /// Determines where a write that arrived at `arrivedAt` runs, or how long it may wait.
    WriteRoute routeWrite(Model::Time arrivedAt, Model::Time now) const;
    /// Determines where a read runs. `loads` is in the order of `members`.
    ReadRoute routeRead(const ReadRequest& request, std::span<const MemberLoad> loads, Model::Time now) const;

private:
    MemberView* find(const std::string& member);
    /// The member that reported itself as the primary with the highest term, whether it still responds or
    /// not; null if there is none or its term is superseded.
    const MemberView* reportedPrimary() const;
    /// The reported primary; null if it has failed or a promotion is running.
    const MemberView* usablePrimary(Model::Time now) const;
    bool isWritable(Model::Time now) const;
    /// When statements that wait for a primary are rejected.
    Model::Time unavailableUntil(Model::Time now) const;
    /// The number of members that are reachable by a report requested at or after `m_freshAfter`.
    std::size_t reachableCount(Model::Time now) const;

    void reportsChanged(Model::Time now);
    void updateAvailability(Model::Time now);
    void advancePromotion(std::vector<Action>& actions, Model::Time now, Generator& generator);
    void considerPromotion(Model::Time now, Generator& generator);
    void considerReplacement(const MemberView& primary, Model::Time now, Generator& generator);
    bool hasOrphanedFence(const MemberView& primary, Model::Time now);
    bool mayPromote(Model::Time now) const;
    void startPromotion(std::string previous, Model::Time now, Generator& generator);
    bool canPromoteWithout(const std::string& member, Model::Time now) const;
    void backOff(Model::Time now, Generator& generator);
    /// Appends the fence and follow calls that move reachable members to the primary's term.
    void updateMemberTerms(std::vector<Action>& actions, Model::Time now);

    std::vector<MemberView> m_members;
    std::uint64_t m_highestTerm = 0;
    AckQuorum m_quorum;
    Freshness m_freshness;
    StallDetector m_stall;
    /// The primary from which nothing replicates, until another member is promoted. Kept while there is no
    /// primary, because another owner may have fenced it for this reason.
    std::string m_stalledPrimary;
    Switchover m_switchover;
    std::optional<Promotion> m_promotion;
    std::size_t m_writesInProgress = 0;
    /// Without a usable primary, no promotion starts before this time.
    std::optional<Model::Time> m_backOffUntil;
    /// Only reports requested at or after this time count towards the majority that a promotion needs.
    Model::Time m_freshAfter;
    std::optional<Model::Time> m_orphanedFenceSince;
    /// Since when no write could be sent; empty while the primary accepts writes.
    std::optional<Model::Time> m_unavailableSince;
};

}
