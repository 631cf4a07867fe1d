#pragma once

#include "core/model/result.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Http {
class Connection;
struct Request;
struct Response;
}

namespace TableStore {

/// A row of the table service. Version 0 stands for a row that does not exist.
struct Row {
    std::uint64_t version = 0;
    /// Set by the writer, so that it can recognise its own change after a lost response.
    std::string nonce;
    std::string value;
};

enum class PutStatus : std::uint8_t {
    Done,
    /// The row has another version than the one to be replaced; nothing was changed.
    Conflict,
    /// The change may have taken effect.
    Unknown,
    /// The change did not take effect.
    Unavailable,
};

struct PutResult {
    PutStatus status = PutStatus::Unavailable;
    /// The present row after `Done` and `Conflict`.
    Row row;
};

/// A host in the platform's lagging list.
struct LiveHost {
    std::string name;
    /// Peer address, IP:PORT.
    std::string address;
    std::string zone;
    bool isLeaving = false;
};

/// Client of the platform's table service, object store and live-host list. All calls block up to the
/// time limit. Any thread may use it; calls are made one after the other on one connection.
class StoreClient {
public:
    /// `address` has the form IP:PORT.
    explicit StoreClient(
        const std::string& address, std::chrono::milliseconds timeout = std::chrono::seconds(1));
    ~StoreClient();

    /// Error: `store_unavailable`.
    Model::Result<Row> row(const std::string& key);
    /// Replaces the row if its version is still `row.version`.
    PutResult putRow(const std::string& key, const Row& row);
    /// Nothing if there is no such object. Error: `store_unavailable`.
    Model::Result<std::optional<std::string>> object(const std::string& hash);
    /// Objects are immutable, so a repeated put does no harm. Error: `store_unavailable`.
    Model::Result<void> putObject(const std::string& hash, const std::string& content);
    /// Error: `store_unavailable`.
    Model::Result<std::vector<LiveHost>> liveHosts();

private:
    Http::Response send(Http::Request request);

    std::chrono::milliseconds m_timeout;
    std::mutex m_mutex;
    std::unique_ptr<Http::Connection> m_connection;
};

}
