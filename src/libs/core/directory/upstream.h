#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <string>

namespace Directory {

enum class Role : std::uint8_t { Replica, Primary };
enum class Availability : std::uint8_t {
    Ready,
    /// Completes running requests and accepts no new work.
    Draining,
};

/// A database behind the proxy, as described by its own entry in the store.
struct Upstream {
    /// Never reused by another upstream. A restart may keep the id and changes `startedAt`.
    std::string id;
    std::string service;
    /// IP:PORT, IPv4.
    std::string address;
    std::string zone;
    int slots = 1;
    Availability availability = Availability::Ready;
    Role role = Role::Replica;
    /// How much longer the upstream remains slow after its start.
    Model::Duration coldFor {};
    /// Wall-clock time of the start in Unix milliseconds, used only to distinguish incarnations.
    std::int64_t startedAt = 0;

    /// Revision of the last change of this entry; increases with every change of any entry.
    std::uint64_t revision = 0;
    /// The revision with which the upstream became the primary; set by `View`.
    std::uint64_t primarySince = 0;
};

}
