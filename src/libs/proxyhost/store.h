#pragma once

#include "core/directory/changewait.h"
#include "core/directory/tablewatch.h"
#include "core/failover/promotion.h"
#include "core/usage/window.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ProxyHost {

/// A row of the platform's store.
struct StoreRow {
    std::string table;
    std::string key;
    std::string value;
    /// Higher with every transaction, also after the store was restored from an older copy; 0 for a row that
    /// does not exist.
    std::uint64_t version = 0;
    /// The row was deleted; set only in changes.
    bool isDeleted = false;
};

/// The tables that a host watches for changes.
enum class StoreTable : std::uint8_t {
    /// The configuration and the zones out of service, written by operators.
    Operators,
    Upstreams,
    Hosts,
};

enum class StoreStatus : std::uint8_t {
    Done,
    /// Not executed: a condition did not hold, or the requested history of changes no longer exists.
    Refused,
    /// Certainly not executed.
    Unavailable,
    /// It may have been executed, or may be executed later.
    Unknown,
};

struct StoreAnswer {
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<StoreRow> rows;
    /// The store has further rows, which this answer had no room for.
    bool hasMore = false;
    /// For reads, the newest version in the store; for writes, the version of the transaction.
    std::uint64_t version = 0;
    /// Rises each time that the store is restored from an older copy.
    std::uint64_t epoch = 0;
    /// Time of the store's steady clock when it answered, in milliseconds.
    Failover::StoreTime storeTime {};
    /// Error message for logs.
    std::string error;
};

/// A row that is written only if the store still has it in `expectedVersion`.
struct StoreWrite {
    StoreRow row;
    std::uint64_t expectedVersion = 0;
};

/// A request to the platform's promoter to make an upstream the primary of its service.
struct PromotionRequest {
    std::string service;
    std::string upstream;
    /// Name of the host that holds the promotion lease, and the fencing token of its acquisition.
    std::string holder;
    Failover::FencingToken token = 0;
    /// The request must not be sent later than this, since another host may hold the lease by then.
    Model::Time sendBefore = Model::Time::max();
};

/// A report to the platform of the statements that upstreams ran in one window.
struct UsageReport {
    Usage::Window window = 0;
    Usage::Counts counts;
    /// Name of the host that holds the lease for usage reports, and the fencing token of its acquisition.
    std::string holder;
    Failover::FencingToken token = 0;
    /// The report must not be sent later than this, since another host may hold the lease by then.
    Model::Time sendBefore = Model::Time::max();
};

enum class UsageReportResult : std::uint8_t {
    Accepted,
    /// The platform has seen a higher token.
    Refused,
    /// Certainly not accepted.
    Unavailable,
    /// It may have been accepted, or may be later.
    Unknown,
};

/// Callbacks through which the host controls the watching of the store.
struct StoreControl {
    /// Reads a table that has changed long before `now` on a new connection, if the present one is
    /// unresponsive. Returns the state of the table's watch before that.
    std::function<Directory::TableWatch(StoreTable, Model::Time now)> reread;
    /// Sets whether other hosts notify this one of changes that it has missed. If not, a call that waits for
    /// changes needs a shorter time-out.
    std::function<void(bool)> setPeerNotifications;
    /// Sets this host's place among those that watch the store.
    std::function<void(Directory::FleetPlace)> setFleetPlace;
};

/// Blocking calls to the platform, used by one thread.
struct PlatformCalls {
    /// Returns the row, or no row if it does not exist.
    std::function<StoreAnswer(const std::string& table, const std::string& key)> read;
    /// Returns all rows of a table.
    std::function<StoreAnswer(const std::string& table)> readAll;
    /// Writes the rows in one transaction.
    std::function<StoreAnswer(const std::vector<StoreWrite>&)> commit;
    std::function<Failover::PromotionRequestResult(const PromotionRequest&)> promote;
    std::function<UsageReportResult(const UsageReport&)> reportUsage;
    /// The newest epoch of the store that any call of this process has seen; 0 if none has. Does not block;
    /// any thread may call it.
    std::function<std::uint64_t()> newestEpoch;
};

}
