#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"
#include "core/model/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace Admin {

/// The error of an operator's request that was rejected, failed or has an unknown outcome.
struct AdminError {
    Model::Error error;
    /// With `check_failed`: the faults of the document.
    Catalog::Faults faults;
    /// With `version_conflict`: the conflicting version; otherwise 0.
    std::uint64_t version = 0;
};

template <typename T> using AdminResult = tl::expected<T, AdminError>;

/// A request to publish a complete configuration document.
struct PublishRequest {
    /// JSON text.
    std::string document;
    /// The version on which the operator based the document; 0 if no version exists yet.
    std::uint64_t expectedVersion = 0;
    /// Unique for each publication; a repeated request has the same one.
    std::string nonce;
    /// Whether an earlier request with the same nonce may have taken effect.
    bool isRepeat = false;
};

struct PublishedVersion {
    std::uint64_t version = 0;
    std::string hash;
};

struct CurrentDocument {
    std::uint64_t version = 0;
    std::string hash;
    /// JSON text.
    std::string document;
};

struct HistoryEntry {
    std::uint64_t version = 0;
    std::string hash;
    std::string nonce;
    /// `TYPE/NAME` of the objects that were added, changed or removed.
    std::vector<std::string> objects;
    /// The version that was in force on the host before; not necessarily the next lower one.
    std::uint64_t fromVersion = 0;
};

struct GrantedKey {
    /// The plain-text key. It is not stored and is returned only in this response.
    std::string key;
    std::uint64_t version = 0;
};

struct HostStatus {
    std::string name;
    std::string zone;
    std::string state;
};

struct ServiceStatus {
    std::string name;
    std::string owner;
    /// Empty if the service has no primary, or this host does not know it.
    std::string primary;
    std::uint64_t term = 0;
};

/// The state of the fleet in the view of one host.
struct Status {
    std::string host;
    std::string zone;
    std::string contact;
    /// The catalogue version that is in force on this host.
    std::uint64_t version = 0;
    /// The highest catalogue version that this host knows to exist.
    std::uint64_t announcedVersion = 0;
    std::vector<HostStatus> hosts;
    std::vector<ServiceStatus> services;
};

/// Functions of the daemon that serve the requests of operators. Each is called on the thread of an
/// operator's connection, several at a time. They may block, but must not throw.
struct AdminHooks {
    std::function<AdminResult<PublishedVersion>(const PublishRequest&)> publish;
    /// Checks whether the document could be published now. Returns the version it was checked against.
    std::function<AdminResult<std::uint64_t>(const std::string& document)> check;
    std::function<AdminResult<CurrentDocument>()> currentDocument;
    /// Returns the last versions that came into force on this host, newest first.
    std::function<AdminResult<std::vector<HistoryEntry>>()> history;
    std::function<Status()> status;
    std::function<AdminResult<PublishedVersion>(const std::string& zone, Catalog::ZoneState)> setZoneState;
    std::function<AdminResult<GrantedKey>(const std::string& customer, const std::string& key)> grantKey;
    std::function<AdminResult<PublishedVersion>(const std::string& key)> withdrawKey;
    /// Returns the metrics in the Prometheus text exposition format, version 0.0.4.
    std::function<std::string()> metrics;
    /// Liveness: returns whether the process works.
    std::function<bool()> isHealthy;
    /// Readiness: returns why the host does not serve requests; empty if it serves them.
    std::function<std::optional<Model::Error>()> notReadyReason;
};

}
