#include "core/failover/primaryfences.h"

#include <algorithm>

namespace Failover {

namespace {

    /// Longer than a host with a permission may do without reading the fences in the store.
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

bool PrimaryFences::apply(const ServiceFences& fences, Model::Time now)
{
    Known& known = m_services[fences.service];
    if (fences.version <= known.fences.version)
        return false;
    known.fences = fences;
    known.since = now;
    known.majoritySince.reset();
    for (const FencedUpstream& fence : fences.fences) {
        m_view.fence(fence.upstream, versionOf(fence, fences));
        m_knownSince.try_emplace({ fence.upstream, versionOf(fence, fences) }, now);
    }
    return true;
}

std::vector<ServiceFences> PrimaryFences::reported(Model::Time now) const
{
    std::vector<ServiceFences> result;
    for (const auto& [service, known] : m_services) {
        if (!known.fences.fences.empty() && now - known.since < reportedFor)
            result.push_back(known.fences);
    }
    return result;
}

void PrimaryFences::acknowledged(const std::string& host, const std::string& service, std::uint64_t version)
{
    std::uint64_t& known = m_services[service].acknowledged[host];
    known = std::max(known, version);
}

std::uint64_t PrimaryFences::versionOf(const FencedUpstream& fence, const ServiceFences& fences)
{
    return fence.since == 0 ? fences.version : fence.since;
}

bool PrimaryFences::areOlderThan(const ServiceFences& fences, Model::Duration age, Model::Time now) const
{
    return std::ranges::all_of(fences.fences, [&](const FencedUpstream& fence) {
        return now - m_knownSince.at({ fence.upstream, versionOf(fence, fences) }) > age;
    });
}

bool PrimaryFences::isEffective(const std::string& service, const AwaitedHosts& awaited, Model::Time now)
{
    Known& known = m_services[service];
    std::vector<RegisteredHost> missing;
    for (const RegisteredHost& host : awaited.hosts) {
        const auto entry = known.acknowledged.find(host.name);
        if (entry == known.acknowledged.end() || entry->second < known.fences.version)
            missing.push_back(host);
    }
    if (missing.empty() || areOlderThan(known.fences, maxStoreReadAge + clockMargin, now))
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
