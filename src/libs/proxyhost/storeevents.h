#pragma once

#include "core/directory/configuration.h"
#include "core/directory/upstream.h"
#include "proxyhost/store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ProxyHost {

/// What the platform's store reports. All are called on the loop's thread.
struct StoreEvents {
    std::function<void(std::shared_ptr<const Directory::Configuration>)> configuration;
    std::function<void(const std::string& reason)> configurationInvalid;
    /// All zones that are taken out.
    std::function<void(const std::vector<std::string>&)> zonesOut;
    std::function<void(const std::string& zone, bool isOut)> zone;
    /// All upstreams that are registered.
    std::function<void(const std::vector<Directory::Upstream>&)> upstreams;
    std::function<void(const Directory::Upstream&)> upstream;
    std::function<void(const std::string& id)> upstreamRemoved;
    /// Rows of the table of hosts; `isComplete` says that there are no others.
    std::function<void(const std::vector<StoreRow>&, bool isComplete)> hosts;
    /// The newest change of a table that was read.
    std::function<void(StoreTable, std::uint64_t version)> changeRead;
    /// The table can be followed, at first or again.
    std::function<void(const std::string& table)> tableAvailable;
    std::function<void(const std::string& table, const std::string& error)> tableUnavailable;
};

}
