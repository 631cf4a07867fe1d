#include "core/membership/contactround.h"

#include "core/membership/timing.h"

#include <algorithm>

namespace Membership {

namespace {

    constexpr int roundNumberShift = 32;
    /// Rounds start at most every `roundInterval`, so that no host is behind by as many rounds as this
    /// within a month.
    constexpr std::uint64_t maxRoundsAhead = 1U << 20;
    constexpr Model::Duration completedRetention = 60s;

}

ContactRounds::ContactRounds(std::string ownName)
    : m_ownName(std::move(ownName))
{
}

void ContactRounds::setRoster(const std::vector<std::string>& names)
{
    m_roster = {};
    for (const std::string& name : names)
        m_roster.add(name);
    m_rosterSize = names.size();
    m_inRoster = std::ranges::find(names, m_ownName) != names.end();
}

void ContactRounds::start(
    Model::Time now, std::optional<Model::Time> newestSuccess, std::mt19937_64& generator)
{
    if (m_round.id != 0 && now - m_round.startedAt < roundInterval)
        return;
    const std::uint64_t number = (m_round.id >> roundNumberShift) + 1;
    const std::uint64_t randomBits = generator() >> roundNumberShift;
    m_round = { number << roundNumberShift | randomBits, now, newestSuccess, {} };
    addSelf();
    complete(now, newestSuccess);
}

Model::Result<void> ContactRounds::check(const RoundReport& report) const
{
    const std::uint64_t number = report.id >> roundNumberShift;
    const std::uint64_t ownNumber = m_round.id >> roundNumberShift;
    if (ownNumber != 0 && number > ownNumber + maxRoundsAhead)
        return Model::makeError(Model::ErrorCode::InvalidRequest, "contact round: number");
    return {};
}

void ContactRounds::merge(
    const RoundReport& report, Model::Time sentAt, Model::Time now, std::optional<Model::Time> newestSuccess)
{
    const Model::Time startedAt = sentAt - report.age;
    if (report.id < m_round.id || now - startedAt >= roundLifetime)
        return;
    std::optional<Model::Time> commonSuccess;
    if (report.storeSuccessAge)
        commonSuccess = sentAt - *report.storeSuccessAge;
    if (report.id > m_round.id) {
        m_round = { report.id, startedAt, commonSuccess, {} };
        addSelf();
    }
    // Both are lower bounds of the same instant, so the later one is the better.
    m_round.startedAt = std::max(m_round.startedAt, startedAt);
    m_round.commonSuccess = std::max(m_round.commonSuccess, commonSuccess);
    m_round.hosts.merge(report.hosts);
    complete(now, newestSuccess);
}

std::optional<RoundReport> ContactRounds::report(Model::Time now) const
{
    if (!isRunning(now))
        return std::nullopt;
    RoundReport report { m_round.id, now - m_round.startedAt, std::nullopt, m_round.hosts };
    if (m_round.commonSuccess)
        report.storeSuccessAge = now - *m_round.commonSuccess;
    return report;
}

bool ContactRounds::isRunning(Model::Time now) const
{
    return m_round.id != 0 && now - m_round.startedAt < roundLifetime;
}

void ContactRounds::complete(Model::Time now, std::optional<Model::Time> newestSuccess)
{
    std::erase_if(m_completed,
        [&](const CompletedRound& round) { return now - round.completedAt > completedRetention; });
    if (!m_completed.empty() && m_completed.back().id == m_round.id) {
        m_completed.back().startedAt = m_round.startedAt;
        return;
    }
    if (m_round.hosts.countCommon(m_roster) * 2 <= m_rosterSize)
        return;
    m_completed.push_back({ m_round.id, m_round.startedAt, now, m_round.commonSuccess, newestSuccess });
}

void ContactRounds::addSelf()
{
    // A host outside of the roster would count for a member of it that shares its bit.
    if (m_inRoster)
        m_round.hosts.add(m_ownName);
}

}
