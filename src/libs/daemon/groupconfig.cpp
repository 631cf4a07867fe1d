#include "daemon/groupconfig.h"

#include <algorithm>

namespace Daemon {

namespace {

    /// Connections of an upstream that statements must not use: one for the position poll, one for single
    /// calls, and one that a previous owner or a promotion may hold at the same time.
    constexpr std::int64_t reservedConnections = 3;

}

std::vector<Replication::Member> groupMembers(const Catalog::Snapshot& catalog, const std::string& service)
{
    std::vector<Replication::Member> members;
    const Catalog::ServiceEntry* entry = catalog.findService(service);
    if (!entry)
        return members;
    for (const Catalog::Upstream* upstream : entry->upstreams) {
        Replication::Member member { upstream->name, upstream->zone,
            static_cast<std::uint32_t>(upstream->slots) };
        if (upstream->state == Catalog::UpstreamState::Leaving)
            member.state = Replication::MemberState::Leaving;
        else if (!catalog.isZoneIn(upstream->zone))
            member.state = Replication::MemberState::ZoneOut;
        members.push_back(std::move(member));
    }
    return members;
}

UpstreamConfig upstreamConfig(const Catalog::Snapshot& catalog, const Catalog::Upstream& upstream)
{
    UpstreamConfig config { upstream.name, upstream.address, upstream.zone, {} };
    config.pool.maxConnections
        = static_cast<int>(std::max<std::int64_t>(upstream.connections - reservedConnections, 1));
    config.pool.slots = static_cast<int>(upstream.slots);
    config.pool.idleTransactionTimeout = std::chrono::milliseconds(catalog.limits().transactionIdleMs);
    const bool isUsable = upstream.state == Catalog::UpstreamState::Active && catalog.isZoneIn(upstream.zone);
    config.state = isUsable ? Scheduling::UpstreamState::Active : Scheduling::UpstreamState::NoNewWork;
    using ZoneState = Scheduling::Ramp::ZoneState;
    config.zoneState = catalog.isZoneIn(upstream.zone) ? ZoneState::In : ZoneState::Out;
    return config;
}

std::map<std::string, std::string> upstreamAddresses(
    const Catalog::Snapshot& catalog, const std::string& service)
{
    std::map<std::string, std::string> addresses;
    const Catalog::ServiceEntry* entry = catalog.findService(service);
    if (!entry)
        return addresses;
    for (const Catalog::Upstream* upstream : entry->upstreams)
        addresses.emplace(upstream->name, upstream->address);
    return addresses;
}

}
