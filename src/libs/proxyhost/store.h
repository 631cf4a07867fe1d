#pragma once

#include "core/failover/promotion.h"

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
    /// Given by the store, rises with every transaction; 0 stands for a row that does not exist.
    std::uint64_t version = 0;
    /// Only in changes: the row was dropped.
    bool isDeleted = false;
};

/// The tables whose changes a host follows.
enum class StoreTable : std::uint8_t {
    /// Configuration and zones taken out, written by operators.
    Operators,
    Upstreams,
    Hosts,
};

enum class StoreStatus : std::uint8_t {
    Done,
    /// A condition did not hold, or the history that was asked for is gone; nothing was done.
    Refused,
    /// Certainly nothing was done.
    Unavailable,
    /// It may have been done, or may yet be.
    Unknown,
};

struct StoreAnswer {
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<StoreRow> rows;
    /// The newest version in the store, or that of the transaction.
    std::uint64_t version = 0;
    /// The store's steady clock.
    Failover::StoreTime storeTime {};
    /// What went wrong, for logs.
    std::string error;
};

/// A row to be written if it still has the version that it was read with.
struct StoreWrite {
    StoreRow row;
    std::uint64_t expectedVersion = 0;
};

/// An order that makes an upstream the primary of its service.
struct PromotionRequest {
    std::string service;
    std::string upstream;
    std::string holder;
    Failover::FencingToken token = 0;
};

/// How a host steers the reading of the store.
struct StoreControl {
    /// Reads a table on a new connection.
    std::function<void(StoreTable)> reread;
    /// Whether other hosts tell this one of changes that it has missed. If not, it has to ask more often.
    std::function<void(bool)> setPeerNotifications;
};

/// Blocking calls to the platform, used by one thread.
struct PlatformCalls {
    /// The row, or none.
    std::function<StoreAnswer(const std::string& table, const std::string& key)> read;
    std::function<StoreAnswer(const std::vector<StoreWrite>&)> commit;
    std::function<Failover::PromotionRequestResult(const PromotionRequest&)> promote;
};

}
