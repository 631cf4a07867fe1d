#include "core/membership/contactround.h"

#include "core/membership/timing.h"

#include <algorithm>
#include <set>

namespace Membership {

namespace {

    constexpr int roundNumberShift = 32;
    /// A received round number or roster version is rejected if it exceeds that of this host by more than
    /// this. Rounds start at most every `roundInterval`, so a host does not miss this many within a month.
    constexpr std::uint64_t maxRoundsAhead = 1U << 20;
    constexpr Model::Duration completedRetention = 60s;

}

ContactRounds::ContactRounds(std::string ownName)
    : m_ownName(std::move(ownName))
{
}

void ContactRounds::setRoster(const Roster& roster)
{
    if (roster.version <= m_roster.version)
        return;
    m_roster = roster;
    rosterVersionKnown(roster.version);
    const std::set<std::string> previous(roster.previousNames.begin(), roster.previousNames.end());
    ContactBitmap added;
    m_names = m_previousNames = {};
    for (const std::string& name : roster.names) {
        m_names.add(name);
        (previous.contains(name) ? m_previousNames : added).add(name);
    }
    m_previousNames.subtract(added);
    addSelf();
}

void ContactRounds::rosterVersionKnown(std::uint64_t version)
{
    m_newestRosterVersion = std::max(m_newestRosterVersion, version);
}

void ContactRounds::takePart()
{
    m_takesPart = true;
    addSelf();
}

void ContactRounds::start(
    Model::Time now, std::optional<Model::Time> newestSuccess, std::mt19937_64& generator)
{
    if (m_round.id != 0 && now - m_round.startedAt < roundInterval)
        return;
    const std::uint64_t number = (m_round.id >> roundNumberShift) + 1;
    const std::uint64_t randomBits = generator() >> roundNumberShift;
    m_round = { number << roundNumberShift | randomBits, now, newestSuccess, m_newestRosterVersion, {} };
    addSelf();
    complete(now, newestSuccess);
}

Model::Result<void> ContactRounds::check(const Payload& payload) const
{
    if (m_newestRosterVersion != 0 && payload.rosterVersion > m_newestRosterVersion + maxRoundsAhead)
        return Model::makeError(
            Model::ErrorCode::InvalidRequest, "roster version: too far ahead of the newest known version");
    const std::uint64_t number = payload.round ? payload.round->id >> roundNumberShift : 0;
    const std::uint64_t ownNumber = m_round.id >> roundNumberShift;
    if (ownNumber != 0 && number > ownNumber + maxRoundsAhead)
        return Model::makeError(
            Model::ErrorCode::InvalidRequest, "contact round: number too far ahead of the current round");
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
        m_round = { report.id, startedAt, commonSuccess, report.rosterVersion, {} };
        addSelf();
    }
    // Both values are lower bounds of the same quantity, so the higher one is more accurate.
    m_round.startedAt = std::max(m_round.startedAt, startedAt);
    m_round.commonSuccess = std::max(m_round.commonSuccess, commonSuccess);
    m_round.rosterVersion = std::max(m_round.rosterVersion, report.rosterVersion);
    m_round.hosts.merge(report.hosts);
    complete(now, newestSuccess);
}

std::optional<RoundReport> ContactRounds::report(Model::Time now) const
{
    if (!isRunning(now))
        return std::nullopt;
    RoundReport report { m_round.id, now - m_round.startedAt, std::nullopt, m_round.rosterVersion,
        m_round.hosts };
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
    if (isCompleted()) {
        m_completed.back().startedAt = m_round.startedAt;
        return;
    }
    if (!isMajorityPresent())
        return;
    m_completed.push_back(
        { m_round.id, m_roster.version, m_round.startedAt, now, m_round.commonSuccess, newestSuccess });
}

bool ContactRounds::isMajorityPresent() const
{
    // If this host's roster is not the newest one, or hosts in the round may not know the newest one, two
    // hosts could count majorities that have no host in common.
    if (m_roster.version < m_newestRosterVersion || m_round.rosterVersion < m_roster.version)
        return false;
    const auto isMajority = [this](const ContactBitmap& of, const std::vector<std::string>& names) {
        return m_round.hosts.countCommon(of) * 2 > names.size();
    };
    return isMajority(m_names, m_roster.names)
        && (m_roster.previousNames.empty() || isMajority(m_previousNames, m_roster.previousNames));
}

void ContactRounds::addSelf()
{
    // A host outside of the roster must not set a bit that it shares with a host of the roster, because that
    // host would then count as being in contact.
    const bool isMember = m_roster.version == m_newestRosterVersion
        && std::ranges::find(m_roster.names, m_ownName) != m_roster.names.end();
    if (m_takesPart && isMember && m_round.id != 0)
        m_round.hosts.add(m_ownName);
}

}
