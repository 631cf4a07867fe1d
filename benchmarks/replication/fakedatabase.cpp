#include "fakedatabase.h"

#include <algorithm>

using namespace Replication;

Report FakeDatabase::status() const
{
    return { m_promisedTerm, lastEntry(), m_isPrimary ? Role::Primary : Role::Replica };
}

Model::LogPosition FakeDatabase::lastEntry() const
{
    return m_log.empty() ? Model::LogPosition {} : Model::LogPosition { m_log.back().term, m_log.size() };
}

bool FakeDatabase::holds(Model::LogPosition entry, std::uint64_t value) const
{
    return entry.position <= m_log.size() && m_log[entry.position - 1].value == value;
}

FenceAnswer FakeDatabase::fence(std::uint64_t term)
{
    if (term <= m_promisedTerm)
        return { false, m_promisedTerm, {} };
    m_promisedTerm = term;
    m_isPrimary = false;
    return { true, term, lastEntry() };
}

TermAnswer FakeDatabase::promote(std::uint64_t term, Model::Time now)
{
    if (term != m_promisedTerm)
        return { false, m_promisedTerm };
    if (!m_isPrimary)
        m_log.push_back({ term, 0, now });
    m_isPrimary = true;
    m_followed = -1;
    return { true, term };
}

TermAnswer FakeDatabase::follow(std::uint64_t term, int primary)
{
    if (term < m_promisedTerm)
        return { false, m_promisedTerm };
    m_followed = primary;
    m_followedTerm = term;
    m_isPrimary = false;
    return { true, m_promisedTerm };
}

std::optional<Model::LogPosition> FakeDatabase::write(
    std::uint64_t term, std::uint64_t value, Model::Time now)
{
    if (term != m_promisedTerm || !m_isPrimary)
        return std::nullopt;
    const auto known = std::ranges::find(m_log.rbegin(), m_log.rend(), value, &Entry::value);
    if (known != m_log.rend())
        return Model::LogPosition { known->term, static_cast<std::uint64_t>(m_log.rend() - known) };
    m_log.push_back({ term, value, now });
    return lastEntry();
}

void FakeDatabase::replicate(const FakeDatabase& primary, Model::Duration lag, Model::Time now)
{
    if (!primary.m_isPrimary || primary.m_promisedTerm != m_followedTerm || m_followedTerm < m_promisedTerm)
        return;
    // Two logs that have the same term at a position are equal up to that position.
    std::size_t common = std::min(m_log.size(), primary.m_log.size());
    while (common > 0 && m_log[common - 1].term != primary.m_log[common - 1].term)
        --common;
    m_log.resize(common);
    for (std::size_t i = common; i < primary.m_log.size() && primary.m_log[i].at + lag <= now; ++i)
        m_log.push_back({ primary.m_log[i].term, primary.m_log[i].value, primary.m_log[i].at });
}

void FakeDatabase::restart()
{
    m_isPrimary = false;
    m_followed = -1;
}
