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

/// Why a request of an operator was refused, or that its outcome is unknown.
struct AdminError {
    Model::Error error;
    /// With `check_failed`: everything that is wrong with the document.
    Catalog::Faults faults;
    /// With `version_conflict`: the version that won.
    std::uint64_t version = 0;
};

template <typename T> using AdminResult = tl::expected<T, AdminError>;

/// A whole document to be published.
struct PublishRequest {
    /// JSON text.
    std::string document;
    /// The version on which the operator based the document; 0 if there is none yet.
    std::uint64_t expectedVersion = 0;
    std::string nonce;
    /// An earlier request with this nonce may have taken effect.
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
    /// The version that the host had in force before, which is not always the next lower one.
    std::uint64_t fromVersion = 0;
};

struct GrantedKey {
    /// The key itself, which is shown this once.
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
    /// Empty while there is none or this host does not know.
    std::string primary;
    std::uint64_t term = 0;
};

/// The fleet as one host sees it.
struct Status {
    std::string host;
    std::string zone;
    std::string contact;
    /// Version in force here, and the highest that is known to exist.
    std::uint64_t version = 0;
    std::uint64_t announcedVersion = 0;
    std::vector<HostStatus> hosts;
    std::vector<ServiceStatus> services;
};

/// What the daemon does for operators. Each hook is called on the thread of the operator's connection,
/// several at a time, and may block; none may throw.
struct AdminHooks {
    std::function<AdminResult<PublishedVersion>(const PublishRequest&)> publish;
    /// The version against which the document was checked, if it could be published now.
    std::function<AdminResult<std::uint64_t>(const std::string& document)> check;
    std::function<AdminResult<CurrentDocument>()> currentDocument;
    /// Newest first.
    std::function<AdminResult<std::vector<HistoryEntry>>()> history;
    std::function<Status()> status;
    std::function<AdminResult<PublishedVersion>(const std::string& zone, Catalog::ZoneState)> setZoneState;
    std::function<AdminResult<GrantedKey>(const std::string& customer, const std::string& key)> grantKey;
    std::function<AdminResult<PublishedVersion>(const std::string& key)> withdrawKey;
    /// Metrics in the text exposition format.
    std::function<std::string()> metrics;
    /// Whether the process works at all.
    std::function<bool()> isHealthy;
    /// Nothing if the host serves requests, otherwise why it does not.
    std::function<std::optional<Model::Error>()> notReadyReason;
};

}
