#pragma once

#include "core/directory/configuration.h"
#include "core/directory/tablewatch.h"
#include "core/directory/upstream.h"
#include "proxyhost/store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ProxyHost {

/// A restoration of the store from an older copy, as noticed while a table was watched.
struct StoreRestoration {
    std::string table;
    /// Rises with each restoration.
    std::uint64_t epoch = 0;
    /// Version up to which this host had read the table before, and that of the store now, by the store's own
    /// count.
    std::uint64_t versionBefore = 0;
    std::uint64_t versionNow = 0;
};

/// Callbacks for changes and outages of the platform's store. All are called on the loop's thread.
struct StoreEvents {
    std::function<void(std::shared_ptr<const Directory::Configuration>)> configuration;
    std::function<void(const std::string& reason)> configurationInvalid;
    /// The complete list of zones that are out of service.
    std::function<void(const std::vector<std::string>&)> zonesOut;
    std::function<void(const std::string& zone, bool isOut)> zone;
    /// The complete list of registered upstreams.
    std::function<void(const std::vector<Directory::Upstream>&)> upstreams;
    std::function<void(const Directory::Upstream&)> upstream;
    std::function<void(const std::string& id)> upstreamRemoved;
    /// Rows of the hosts table; `isComplete` is set if these are all rows of the table.
    std::function<void(const std::vector<StoreRow>&, bool isComplete)> hosts;
    /// A table was read: all changes up to the version `position`. `newest` is the version of the newest
    /// change among those read now; 0 if there is none.
    std::function<void(StoreTable, std::uint64_t newest, std::uint64_t position)> changesRead;
    /// The store was restored from an older copy; a table is read again as a whole. The versions are those
    /// that the store counts itself.
    std::function<void(const StoreRestoration&)> restored;
    /// The table can be watched: for the first time, or again after so many failed calls.
    std::function<void(const std::string& table, int failures)> tableAvailable;
    /// A call that watches a table has failed.
    std::function<void(const Directory::FailedRead&)> readFailed;
};

}
