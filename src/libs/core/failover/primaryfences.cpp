#include "core/failover/primaryfences.h"

#include <algorithm>

namespace Failover {

namespace {

    /// Longer than a host with a permission may do without reading the fences in the store.
    constexpr Model::Duration reportedFor = 2 * maxStoreReadAge;
    /// Covers the difference of the hosts' clock rates over `permissionDuration`.
    constexpr Model::Duration clockMargin = std::chrono::milliseconds(20);

}

PrimaryFences::PrimaryFences(Directory::View& view, const PrimaryPermission& permission)
    : m_view(view)
    , m_permission(permission)
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

bool PrimaryFences::isEffective(
    const std::string& service, const std::vector<std::string>& hosts, Model::Time now)
{
    Known& known = m_services[service];
    int missing = 0;
    // This host has acknowledged the fences and is in all lists.
    int inAllLists = 1;
    for (const std::string& host : hosts) {
        const auto entry = known.acknowledged.find(host);
        if (entry == known.acknowledged.end() || entry->second < known.fences.version)
            ++missing;
        if (m_permission.isInAllLists(host, now))
            ++inAllLists;
    }
    if (missing == 0 || areOlderThan(known.fences, maxStoreReadAge + clockMargin, now))
        return true;
    if (missing * 2 >= inAllLists)
        return false;
    if (!known.majoritySince)
        known.majoritySince = now;
    return now - *known.majoritySince > permissionDuration + clockMargin;
}

}
