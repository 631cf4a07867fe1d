#include "core/failover/primaryfences.h"

#include <algorithm>

namespace Failover {

namespace {

    /// Longer than a host with a permission may do without reading the store.
    constexpr Model::Duration reportedFor = 2 * maxStoreReadAge;
    /// Covers the difference of the hosts' clock rates over `permissionDuration`.
    constexpr Model::Duration clockMargin = std::chrono::milliseconds(20);

    /// Returns how many hosts the list of `host` includes at least, itself included. It has read the list
    /// after its registration, in the second half of the time since then, and within `maxStoreReadAge`.
    std::size_t leastListedHosts(const AwaitedHosts& awaited, const RegisteredHost& host)
    {
        const auto maxAge = std::chrono::duration_cast<StoreTime>(maxStoreReadAge + clockMargin);
        const StoreTime readAt
            = std::max(awaited.fencedAt - maxAge, (host.registeredAt + awaited.fencedAt) / 2);
        const auto isListed
            = [&](StoreTime registeredAt) { return registeredAt + maxRegistrationTime <= readAt; };
        std::size_t count = 1 + (isListed(awaited.ownRegistrationAt) ? 1 : 0);
        for (const RegisteredHost& other : awaited.hosts) {
            if (other.name != host.name && isListed(other.registeredAt))
                ++count;
        }
        return count;
    }

}

PrimaryFences::PrimaryFences(Directory::View& view)
    : m_view(view)
{
}

bool PrimaryFences::apply(const AllowedPrimary& primary, Model::Time now)
{
    Known& known = m_services[primary.service];
    if (primary.revision <= known.primary.revision)
        return false;
    known.primary = primary;
    known.since = now;
    known.majoritySince.reset();
    if (!primary.isFence())
        known.fencedSince.reset();
    else if (!known.fencedSince)
        known.fencedSince = now;
    if (primary.upstream)
        m_view.restrictPrimary(primary.service, *primary.upstream);
    return true;
}

std::vector<AllowedPrimary> PrimaryFences::reported(Model::Time now) const
{
    std::vector<AllowedPrimary> result;
    for (const auto& [service, known] : m_services) {
        if (known.primary.upstream && now - known.since < reportedFor)
            result.push_back(known.primary);
    }
    return result;
}

std::vector<AllowedPrimary> PrimaryFences::known() const
{
    std::vector<AllowedPrimary> result;
    for (const auto& [service, known] : m_services) {
        if (known.primary.revision != 0)
            result.push_back(known.primary);
    }
    return result;
}

void PrimaryFences::acknowledged(const std::string& host, const std::string& service, std::uint64_t revision)
{
    std::uint64_t& known = m_services[service].acknowledged[host];
    known = std::max(known, revision);
}

bool PrimaryFences::isEffective(const std::string& service, const AwaitedHosts& awaited, Model::Time now)
{
    Known& known = m_services[service];
    std::vector<RegisteredHost> missing;
    for (const RegisteredHost& host : awaited.hosts) {
        const auto entry = known.acknowledged.find(host.name);
        if (entry == known.acknowledged.end() || entry->second < known.primary.revision)
            missing.push_back(host);
    }
    if (!known.fencedSince)
        return false;
    if (missing.empty() || now - *known.fencedSince > maxStoreReadAge + clockMargin)
        return true;
    const bool isMajorityAcknowledged = std::ranges::all_of(missing,
        [&](const RegisteredHost& host) { return missing.size() * 2 < leastListedHosts(awaited, host); });
    if (!isMajorityAcknowledged)
        return false;
    if (!known.majoritySince)
        known.majoritySince = now;
    return now - *known.majoritySince > permissionDuration + clockMargin;
}

}
