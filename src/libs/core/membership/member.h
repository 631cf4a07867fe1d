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

/// What the sender of a message believes about one host.
struct MemberUpdate {
    std::string name;
    std::string address;
    std::string zone;
    std::uint64_t incarnation = 0;
    /// Raised by the host itself, to refute a suspicion or to announce that it leaves.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
};

/// Whether `update` is newer information than `known` about the host of that name.
bool supersedes(const MemberUpdate& update, const MemberUpdate& known);

/// One host in the view of this host.
struct Member : MemberUpdate {
    /// When the member entered its state in this host's view.
    Model::Time stateSince;
    /// The host announced that it leaves. It keeps this property while it is suspected.
    bool leaving = false;
    /// The platform's last live-host list named the host.
    bool listed = false;

    bool isLive() const { return state != MemberState::Dead; }
    /// The member is known from the live-host list only. Such a member is not gossiped about.
    bool isUnconfirmed() const { return incarnation == 0; }
};

/// Hash for look-up by `std::string_view`.
struct NameHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): prescribed by the standard

    std::size_t operator()(std::string_view name) const { return std::hash<std::string_view>()(name); }
};

/// Members by name.
using MemberMap = std::unordered_map<std::string, Member, NameHash, std::equal_to<>>;

/// Start time in ms since the Unix epoch << 16 | 16 random bits.
std::uint64_t makeIncarnation(std::uint64_t unixMilliseconds, std::uint16_t randomBits);
std::uint64_t incarnationMilliseconds(std::uint64_t incarnation);

}
