#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Membership {

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    Leaving,
};

/// `alive`, `suspect`, `dead` or `leaving`; `unknown` for a value outside of the enumeration.
std::string_view memberStateName(MemberState state);

/// The state of one host in the view of a message's sender.
struct MemberUpdate {
    std::string name;
    std::string address;
    std::string zone;
    std::uint64_t incarnation = 0;
    /// Incremented by the host itself to refute a suspicion or to announce that it is leaving.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
};

/// Whether `update` takes precedence over `known`, which concerns the same host: by incarnation, then by
/// refutation number, then by state (dead, suspect, leaving, alive, highest first).
bool supersedes(const MemberUpdate& update, const MemberUpdate& known);

/// A host in the membership view of this host.
struct Member : MemberUpdate {
    /// When the member entered its current state in this host's view.
    Model::Time stateSince;
    /// The host announced that it is leaving. Remains set while the host is suspected.
    bool leaving = false;
    /// The platform's last live-host list contains the host.
    bool listed = false;

    bool isLive() const { return state != MemberState::Dead; }
    /// The member is known only from the live-host list. Its state is not passed on by gossip.
    bool isUnconfirmed() const { return incarnation == 0; }
};

/// Hash for look-up by `std::string_view`.
struct NameHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): prescribed by the standard

    std::size_t operator()(std::string_view name) const { return std::hash<std::string_view>()(name); }
};

/// Members by name.
using MemberMap = std::unordered_map<std::string, Member, NameHash, std::equal_to<>>;

/// The incarnation of a process that started at the given time in ms since the Unix epoch: the time shifted
/// left by 16 bits, with 16 random bits below.
std::uint64_t makeIncarnation(std::uint64_t unixMilliseconds, std::uint16_t randomBits);
/// The start time that an incarnation contains, in ms since the Unix epoch.
std::uint64_t incarnationMilliseconds(std::uint64_t incarnation);

}
