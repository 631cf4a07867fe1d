#pragma once

#include "core/model/time.h"
#include "core/replication/action.h"
#include "core/replication/member.h"

#include <optional>

namespace Replication {

/// An owner's view of one member: its state, merged from its reports, and whether it responds. Not
/// thread-safe: the caller holds the group's mutex.
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
    /// When the request for the latest report with a last entry was sent. The report describes this time or
    /// a later one.
    Model::Time requestedAt() const { return m_requestedAt; }
    /// When the known last entry changed, upwards or downwards.
    Model::Time progressAt() const { return m_progressAt; }
    /// When the latest response arrived.
    Model::Time respondedAt() const { return m_respondedAt; }

    /// Merges a report whose request was sent at `sentAt`. If that was after the previous report arrived,
    /// the report replaces the previous one. Otherwise the two requests overlapped and their reports may
    /// have arrived in any order, so only higher values are taken.
    void observe(const Report& report, Model::Time sentAt, Model::Time now);
    /// Merges the response to a write: the member, as primary of `term`, returned `entry`. This is only a
    /// lower bound of its last entry, because a repeated request id returns the entry of the first attempt.
    void observeWrite(std::uint64_t term, Model::LogPosition entry, Model::Time sentAt, Model::Time now);
    /// Records a call on a `connection` of this kind that failed or got no response in time.
    void observeFailure(ConnectionKind connection, Model::Time now);

    /// Whether the member has reported its last entry and has responded within `unresponsiveLimit`.
    bool isReachable(Model::Time now) const;
    /// Whether a call has failed since the last response.
    bool isSuspected() const { return m_establishedFailed || m_newConnectionFailed; }
    /// Whether the member has not responded for `unresponsiveLimit` and a new connection has failed since
    /// its last response.
    bool isFailed(Model::Time now) const;

    /// Returns the next probe if it is due at the given interval, otherwise `std::nullopt`. A suspected or
    /// unresponsive member is probed on a new connection.
    std::optional<Probe> dueProbe(Model::Duration interval, Model::Time now);
    /// Makes a probe due at once.
    void requestProbe() { m_probedAt.reset(); }

    /// The latest term in which the member accepted a follow call; 0 if there is none.
    std::uint64_t followedTerm() const { return m_followedTerm; }
    void setFollowedTerm(std::uint64_t term) { m_followedTerm = term; }
    /// Whether a fence or follow call that moves the member to the primary's term may be sent now.
    bool mayUpdateTerm(Model::Time now) const { return !m_termUpdatePending || *m_termUpdatePending <= now; }
    /// Allows no such call before `until`, because one is pending or was made recently. With `std::nullopt`,
    /// the next call is allowed at once.
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
    Model::Time m_respondedAt {};
    Model::Time m_progressAt {};
    std::optional<Model::Time> m_probedAt;
    std::uint64_t m_followedTerm = 0;
    std::optional<Model::Time> m_termUpdatePending;
};

}
