#pragma once

#include "core/membership/member.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Membership {

enum class ZoneState : std::uint8_t {
    /// In service.
    In,
    /// Taken out of service by an operator.
    Out,
};

/// An availability zone, as configured in the catalogue.
struct Zone {
    std::string name;
    std::string region;
    ZoneState state = ZoneState::In;
};

/// The host that owns the group of upstreams of `service` (docs/design.md 6.1). Candidates are the live
/// members that are not leaving and not in a zone out of service. Candidates in a zone of the group's
/// upstreams are preferred to those in the region of such a zone, and these to all others. Rendezvous
/// hashing selects one of the preferred candidates. Empty if there is no candidate.
std::optional<std::string> ownerOf(std::string_view service, std::span<const std::string> upstreamZones,
    std::span<const Member> members, std::span<const Zone> zones);

}
