#pragma once

#include "core/catalog/snapshot.h"
#include "core/replication/member.h"
#include "daemon/upstreamlink.h"

#include <map>
#include <string>
#include <vector>

namespace Daemon {

/// The members of a service's group as the replication decisions see them; none if there is no such service.
std::vector<Replication::Member> groupMembers(const Catalog::Snapshot& catalog, const std::string& service);

/// How the owner uses an upstream.
UpstreamConfig upstreamConfig(const Catalog::Snapshot& catalog, const Catalog::Upstream& upstream);

/// Addresses of a service's upstreams by name.
std::map<std::string, std::string> upstreamAddresses(
    const Catalog::Snapshot& catalog, const std::string& service);

}
