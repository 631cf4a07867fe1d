#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <string>

namespace Directory {

enum class Role : std::uint8_t { Replica, Primary };
enum class Availability : std::uint8_t {
    Ready,
    /// Serves what runs, takes no new work.
    Draining,
};

/// A database as it describes itself.
struct Upstream {
    /// Unique over time but for a restart under the same id, which changes `startedAt`.
    std::string id;
    std::string service;
    /// IP:PORT, IPv4.
    std::string address;
    std::string zone;
    int slots = 1;
    Availability availability = Availability::Ready;
    Role role = Role::Replica;
    /// How long it remains slow after its start.
    Model::Duration coldFor {};
    /// Wall-clock start in Unix milliseconds, used only to tell incarnations apart.
    std::int64_t startedAt = 0;

    /// Rises with every change of any entry.
    std::uint64_t revision = 0;
    /// The revision with which it became the primary; set by the view.
    std::uint64_t primarySince = 0;
};

}
