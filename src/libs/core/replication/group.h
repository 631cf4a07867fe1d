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

struct Primary {
    std::string member;
    std::uint64_t term = 0;
};

struct WriteRoute {
    enum class Kind : std::uint8_t {
        /// Run on `primary`.
        Run,
        /// Hold the write and ask again, at the latest at `until`.
        Wait,
        /// Refuse with `no_primary`, not run.
        NoPrimary,
    };

    Kind kind = Kind::NoPrimary;
    Primary primary;
    Model::Time until {};
};

/// The decisions of a group's owner: who is primary, when to replace it, which writes are confirmed and
/// where statements run. Owns the view of the members. Makes no calls itself: the I/O layer makes those of
/// `nextActions` and reports each result. Safe with several owners at a time. Not thread-safe.
class Group {
public:
    Group(std::vector<Member> members, Model::Time now);

    /// Takes over a new configuration; members that remain keep their view.
    void replaceMembers(std::vector<Member> members, Model::Time now);
    std::span<const MemberView> members() const { return m_members; }

    /// A member answered a probe, position poll or other call that was sent at `sentAt`.
    void observeReport(const std::string& member, const Report& report, Model::Time sentAt, Model::Time now);
    /// A write or commit that was sent in `term` returned `entry`. Returns the position that must be
    /// confirmed before the write is acknowledged.
    Model::LogPosition observeWrite(const std::string& member, std::uint64_t term, Model::LogPosition entry,
        Model::Time sentAt, Model::Time now);
    /// A call was not answered in time, or its connection failed.
    void observeFailure(const std::string& member, ConnectionKind connection, Model::Time now);
    /// The number of writes and open transactions on the primary; a planned switchover waits for them.
    void setWritesInProgress(std::size_t count) { m_writesInProgress = count; }

    /// The calls to make now. To be called after each report and result, and every 20 ms.
    std::vector<Action> nextActions(Model::Time now, Generator& generator);
    void fenceAnswered(const std::string& member, std::uint64_t term, const FenceAnswer& answer,
        Model::Time sentAt, Model::Time now);
    void fenceLost(const std::string& member, std::uint64_t term, Model::Time now);
    void promoteAnswered(const std::string& member, std::uint64_t term, const TermAnswer& answer,
        Model::Time sentAt, Model::Time now);
    void promoteLost(const std::string& member, std::uint64_t term);
    void followAnswered(const std::string& member, std::uint64_t term, const TermAnswer& answer,
        Model::Time sentAt, Model::Time now);
    void followLost(const std::string& member, Model::Time now);

    /// The member to which writes of this term may be sent, if there is one.
    std::optional<Primary> primary(Model::Time now) const;
    bool isPromoting() const { return m_promotion.has_value(); }
    bool isHoldingWrites() const { return m_switchover.isHolding(); }

    Confirmation confirmation(Model::LogPosition entry) const;
    bool isConfirmed(Model::LogPosition entry) const
    {
        return confirmation(entry) == Confirmation::Confirmed;
    }
    Model::LogPosition confirmed() const { return m_quorum.confirmed(); }

    /// Where a write that arrived at `arrivedAt` runs, or how long it may wait.
    WriteRoute routeWrite(Model::Time arrivedAt, Model::Time now) const;
    /// Where a read runs. `loads` is in the order of `members`.
    ReadRoute routeRead(const ReadRequest& request, std::span<const MemberLoad> loads, Model::Time now) const;

private:
    MemberView* find(const std::string& member);
    /// The member that is primary by its own report and has not been superseded, whether it answers or not.
    const MemberView* reportedPrimary() const;
    const MemberView* usablePrimary(Model::Time now) const;
    bool isWritable(Model::Time now) const;
    Model::Time unavailableUntil(Model::Time now) const;
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
    void updateMemberTerms(std::vector<Action>& actions, Model::Time now);

    std::vector<MemberView> m_members;
    std::uint64_t m_highestTerm = 0;
    AckQuorum m_quorum;
    Freshness m_freshness;
    StallDetector m_stall;
    /// The primary from which nothing replicates, until another one is promoted. Kept while there is no
    /// primary, because another owner may have fenced it for this reason.
    std::string m_stalledPrimary;
    Switchover m_switchover;
    std::optional<Promotion> m_promotion;
    std::size_t m_writesInProgress = 0;
    /// No promotion starts earlier, nor on reports that were requested before `m_freshAfter`.
    std::optional<Model::Time> m_backOffUntil;
    Model::Time m_freshAfter;
    std::optional<Model::Time> m_orphanedFenceSince;
    std::optional<Model::Time> m_unavailableSince;
};

}
