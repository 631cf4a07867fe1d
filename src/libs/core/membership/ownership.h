#pragma once

#include "core/membership/member.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Membership {

enum class ZoneState : std::uint8_t {
    In,
    Out,
};

/// An availability zone of the catalogue.
struct Zone {
    std::string name;
    std::string region;
    ZoneState state = ZoneState::In;
};

/// The host that owns the group of `service`, docs/design.md 6.1: by rendezvous hashing over the members
/// that are live, not leaving and not in a zone that is out; of these, the ones in the zones of the
/// group's upstreams, failing that in a region of them, failing that all. Nothing if there are none.
std::optional<std::string> ownerOf(std::string_view service, std::span<const std::string> upstreamZones,
    std::span<const Member> members, std::span<const Zone> zones);

}
