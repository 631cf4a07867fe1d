#include "core/membership/contacttracker.h"

#include "core/membership/timing.h"

#include <algorithm>
#include <array>

namespace Membership {

namespace {

    constexpr std::array<std::string_view, 3> contactStateNames { "connected", "store_outage", "isolated" };
    /// Only the oldest entry determines whether the catalogue is overdue. Later entries matter when a version
    /// in between comes into force.
    constexpr std::size_t maxNewerVersions = 64;
    /// A received catalogue version is rejected if it exceeds the version in force by more than this. At 490
    /// changes per day no host misses this many versions.
    constexpr std::uint64_t maxVersionsAhead = 1U << 20;

}

std::string_view contactStateName(ContactState state)
{
    return contactStateNames[static_cast<std::size_t>(state)];
}

ContactTracker::ContactTracker(std::string ownName)
    : m_rounds(std::move(ownName))
{
}

void ContactTracker::setRoster(const Roster& roster, Model::Time readAt, RosterSource source)
{
    // Ensures that a host that uses a roster knows of a store success that is not older than the roster.
    recordStoreSuccess(readAt);
    m_rounds.setRoster(roster);
    if (source == RosterSource::Store)
        m_rounds.takePart();
}

bool ContactTracker::rosterChangeAllowed(Model::Time now) const
{
    return state(now) == ContactState::Connected && roster().version == newestRosterVersion()
        && std::ranges::any_of(m_rounds.completed(),
            [&](const CompletedRound& round) { return round.rosterVersion == roster().version; });
}

void ContactTracker::storeSucceeded(Model::Time startedAt) { recordStoreSuccess(startedAt); }

void ContactTracker::recordStoreSuccess(Model::Time time)
{
    m_newestSuccess = std::max(m_newestSuccess, std::optional(time));
}

void ContactTracker::catalogVersionKnown(std::uint64_t version, Model::Time now)
{
    const std::uint64_t newest = m_newerVersions.empty() ? m_versionInForce : m_newerVersions.back().version;
    if (version > newest && m_newerVersions.size() < maxNewerVersions)
        m_newerVersions.push_back({ version, now });
}

void ContactTracker::catalogVersionInForce(std::uint64_t version)
{
    m_versionInForce = std::max(m_versionInForce, version);
    std::erase_if(
        m_newerVersions, [&](const KnownVersion& known) { return known.version <= m_versionInForce; });
}

ContactState ContactTracker::state(Model::Time now) const
{
    if (isCatalogOverdue(now))
        return ContactState::Isolated;
    if (m_newestSuccess && now - *m_newestSuccess < evidenceLifetime)
        return ContactState::Connected;
    return isMajorityPresent(now) ? ContactState::StoreOutage : ContactState::Isolated;
}

std::optional<Model::Time> ContactTracker::outageServiceUntil(Model::Time renewalStartedAt) const
{
    std::optional<Model::Time> until;
    for (const CompletedRound& round : m_rounds.completed()) {
        if (!round.newestSuccess || *round.newestSuccess <= renewalStartedAt + outageServiceMargin)
            until = std::max(until, std::optional(round.startedAt + roundLifetime));
    }
    return until;
}

bool ContactTracker::majorityKnowsSuccess(Model::Time since, Model::Time time) const
{
    return std::ranges::any_of(m_rounds.completed(), [&](const CompletedRound& round) {
        return round.rosterVersion == newestRosterVersion() && round.commonSuccess
            && *round.commonSuccess >= since && time - round.completedAt >= takeoverDelay;
    });
}

void ContactTracker::requestRounds(Model::Time until)
{
    m_roundsRequestedUntil = std::max(m_roundsRequestedUntil, until);
}

void ContactTracker::startRoundIfNeeded(Model::Time now, std::mt19937_64& generator)
{
    const bool isOutageSuspected = !m_newestSuccess || now - *m_newestSuccess >= outageSuspicionThreshold;
    if (isOutageSuspected || now < m_roundsRequestedUntil)
        m_rounds.start(now, m_newestSuccess, generator);
}

void ContactTracker::fillPayload(Payload& payload, Model::Time now) const
{
    payload.catalogVersion = m_versionInForce;
    payload.rosterVersion = m_rounds.newestRosterVersion();
    if (m_newestSuccess)
        payload.storeSuccessAge = std::max(now - *m_newestSuccess, Model::Duration::zero());
    if (m_rounds.isRunning(now))
        payload.roundId = m_rounds.id();
}

void ContactTracker::fillRound(Payload& payload, Model::Time now) const
{
    payload.round = m_rounds.report(now);
}

Model::Result<void> ContactTracker::check(const Payload& payload) const
{
    if (m_versionInForce != 0 && payload.catalogVersion > m_versionInForce + maxVersionsAhead)
        return Model::makeError(
            Model::ErrorCode::InvalidRequest, "catalogue version: too far ahead of the version in force");
    return m_rounds.check(payload);
}

void ContactTracker::merge(const Payload& payload, Model::Time sentAt, Model::Time now)
{
    if (payload.storeSuccessAge)
        recordStoreSuccess(sentAt - *payload.storeSuccessAge);
    m_rounds.rosterVersionKnown(payload.rosterVersion);
    if (payload.round)
        m_rounds.merge(*payload.round, sentAt, now, m_newestSuccess);
}

bool ContactTracker::isCatalogOverdue(Model::Time now) const
{
    return !m_newerVersions.empty() && now - m_newerVersions.front().knownSince > evidenceLifetime;
}

bool ContactTracker::isMajorityPresent(Model::Time now) const
{
    return std::ranges::any_of(m_rounds.completed(),
        [&](const CompletedRound& round) { return now - round.startedAt < roundLifetime; });
}

}
