#include "core/membership/ownership.h"

#include "core/model/rendezvous.h"

#include <algorithm>
#include <array>
#include <vector>

namespace Membership {

namespace {

    const Zone* findZone(std::span<const Zone> zones, std::string_view name)
    {
        const auto found = std::ranges::find(zones, name, &Zone::name);
        return found == zones.end() ? nullptr : &*found;
    }

    /// Distance class of a member: 0 in a zone of one of the group's upstreams, 1 in the region of such a
    /// zone, 2 elsewhere.
    std::size_t distance(
        const Member& member, std::span<const std::string> upstreamZones, std::span<const Zone> zones)
    {
        if (std::ranges::find(upstreamZones, member.zone) != upstreamZones.end())
            return 0;
        const Zone* own = findZone(zones, member.zone);
        const bool sameRegion = own && std::ranges::any_of(upstreamZones, [&](const std::string& name) {
            const Zone* zone = findZone(zones, name);
            return zone && zone->region == own->region;
        });
        return sameRegion ? 1 : 2;
    }

}

std::optional<std::string> ownerOf(std::string_view service, std::span<const std::string> upstreamZones,
    std::span<const Member> members, std::span<const Zone> zones)
{
    std::array<std::vector<std::string>, 3> candidatesByDistance;
    for (const Member& member : members) {
        const Zone* zone = findZone(zones, member.zone);
        if (!member.isLive() || member.leaving || (zone && zone->state == ZoneState::Out))
            continue;
        candidatesByDistance[distance(member, upstreamZones, zones)].push_back(member.name);
    }
    for (const std::vector<std::string>& candidates : candidatesByDistance) {
        if (const int index = Model::rendezvousIndex(service, candidates); index >= 0)
            return candidates[static_cast<std::size_t>(index)];
    }
    return std::nullopt;
}

}
