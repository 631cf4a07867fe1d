#include "core/replication/memberview.h"

#include "core/replication/timing.h"

#include <algorithm>

namespace Replication {

MemberView::MemberView(Member member, Model::Time now)
    : m_member(std::move(member))
    , m_requestedAt(now)
    , m_respondedAt(now)
    , m_progressAt(now)
{
}

void MemberView::observe(const Report& report, Model::Time sentAt, Model::Time now)
{
    const bool replaces = !m_hasReported || sentAt >= m_respondedAt;
    const bool higherTerm = report.promisedTerm > m_promisedTerm;
    m_respondedAt = now;
    m_establishedFailed = false;
    m_newConnectionFailed = false;
    if (!replaces && report.promisedTerm < m_promisedTerm)
        return;

    // Within one term, a primary loses its role only by a restart, so only a report that replaces the
    // previous one may change the role from primary to replica. A promise of a higher term ends the role.
    if (higherTerm)
        m_role = Role::Replica;
    if (report.role && (replaces || higherTerm || *report.role == Role::Primary))
        m_role = *report.role;
    m_promisedTerm = report.promisedTerm;
    if (!report.lastEntry)
        return;
    m_hasReported = true;
    m_requestedAt = std::max(m_requestedAt, sentAt);
    const Model::LogPosition previous = m_lastEntry;
    m_lastEntry = replaces || higherTerm ? *report.lastEntry : std::max(previous, *report.lastEntry);
    if (m_lastEntry != previous)
        m_progressAt = now;
}

void MemberView::observeWrite(
    std::uint64_t term, Model::LogPosition entry, Model::Time sentAt, Model::Time now)
{
    observe({ .promisedTerm = term, .lastEntry = {}, .role = Role::Primary }, sentAt, now);
    if (m_promisedTerm != term || entry <= m_lastEntry)
        return;
    m_lastEntry = entry;
    m_progressAt = now;
}

void MemberView::observeFailure(ConnectionKind connection, Model::Time now)
{
    if (connection == ConnectionKind::New) {
        m_newConnectionFailed = true;
        return;
    }
    // Probe at once on a new connection: possibly only the established one is unresponsive.
    if (!m_establishedFailed && now > m_respondedAt)
        requestProbe();
    m_establishedFailed = true;
}

bool MemberView::isReachable(Model::Time now) const
{
    return m_hasReported && now - m_respondedAt < unresponsiveLimit;
}

bool MemberView::isFailed(Model::Time now) const
{
    return m_newConnectionFailed && now - m_respondedAt >= unresponsiveLimit;
}

std::optional<Probe> MemberView::dueProbe(Model::Duration interval, Model::Time now)
{
    if (m_probedAt && now - *m_probedAt < interval)
        return std::nullopt;
    m_probedAt = now;
    const bool isUnresponsive = isSuspected() || now - m_respondedAt >= unresponsiveLimit;
    return Probe { name(), isUnresponsive ? ConnectionKind::New : ConnectionKind::Established };
}

}
