#pragma once

#include "core/model/time.h"
#include "core/replication/action.h"
#include "core/replication/member.h"

#include <optional>

namespace Replication {

/// What one owner knows of one member: the merged reports and whether it answers. Used under the group's
/// mutex.
class MemberView {
public:
    MemberView(Member member, Model::Time now);

    const Member& member() const { return m_member; }
    const std::string& name() const { return m_member.name; }
    bool isActive() const { return m_member.state == MemberState::Active; }
    void configure(Member member) { m_member = std::move(member); }

    std::uint64_t promisedTerm() const { return m_promisedTerm; }
    Model::LogPosition lastEntry() const { return m_lastEntry; }
    Role role() const { return m_role; }
    /// When the request of the latest complete report was sent; the report is at least as recent.
    Model::Time requestedAt() const { return m_requestedAt; }
    /// When the last entry advanced, or a lower one replaced it.
    Model::Time progressAt() const { return m_progressAt; }
    Model::Time answeredAt() const { return m_answeredAt; }

    /// Merges a report whose request was sent at `sentAt`. Reports of overlapping requests may arrive in
    /// any order; of those only higher values are taken. A report whose request was sent after the
    /// previous one arrived replaces it.
    void observe(const Report& report, Model::Time sentAt, Model::Time now);
    /// The member, as primary of `term`, returned `entry` for a write. This is a lower bound of its last
    /// entry, because a repeated request id returns the entry of the first attempt.
    void observeWrite(std::uint64_t term, Model::LogPosition entry, Model::Time sentAt, Model::Time now);
    void observeFailure(ConnectionKind connection, Model::Time now);

    /// Has reported and answered within `unresponsiveLimit`.
    bool isReachable(Model::Time now) const;
    /// A call has failed since the last answer.
    bool isSuspected() const { return m_establishedFailed || m_newConnectionFailed; }
    /// Has not answered for `unresponsiveLimit`, and a new connection failed meanwhile.
    bool isFailed(Model::Time now) const;

    /// The probe that is due, if any, at the given interval.
    std::optional<Probe> dueProbe(Model::Duration interval, Model::Time now);
    void requestProbe() { m_probedAt.reset(); }

    /// The term for which the member is known to follow the primary; 0 if none.
    std::uint64_t followedTerm() const { return m_followedTerm; }
    void setFollowedTerm(std::uint64_t term) { m_followedTerm = term; }
    /// Whether a fence or follow that brings the member to the current term may be sent now.
    bool mayUpdateTerm(Model::Time now) const { return !m_termUpdatePending || *m_termUpdatePending <= now; }
    void setTermUpdatePending(std::optional<Model::Time> until) { m_termUpdatePending = until; }

private:
    Member m_member;
    std::uint64_t m_promisedTerm = 0;
    Model::LogPosition m_lastEntry;
    Role m_role = Role::Replica;
    bool m_hasReported = false;
    bool m_establishedFailed = false;
    bool m_newConnectionFailed = false;
    Model::Time m_requestedAt {};
    Model::Time m_answeredAt {};
    Model::Time m_progressAt {};
    std::optional<Model::Time> m_probedAt;
    std::uint64_t m_followedTerm = 0;
    std::optional<Model::Time> m_termUpdatePending;
};

}
