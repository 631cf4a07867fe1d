#pragma once

#include "core/catalog/snapshot.h"
#include "core/replication/member.h"
#include "daemon/upstreamlink.h"

#include <map>
#include <string>
#include <vector>

namespace Daemon {

/// The members of a service's group for `Replication::Group`; empty if the service does not exist.
std::vector<Replication::Member> groupMembers(const Catalog::Snapshot& catalog, const std::string& service);

/// The settings and the state with which the group's owner uses an upstream.
UpstreamConfig upstreamConfig(const Catalog::Snapshot& catalog, const Catalog::Upstream& upstream);

/// Addresses of a service's upstreams by name; empty if the service does not exist.
std::map<std::string, std::string> upstreamAddresses(
    const Catalog::Snapshot& catalog, const std::string& service);

}
