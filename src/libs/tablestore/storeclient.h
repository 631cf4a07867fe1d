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
    /// Chosen by the writer, so that it can recognise its own change after a lost response.
    std::string nonce;
    std::string value;
};

enum class PutStatus : std::uint8_t {
    Done,
    /// The version of the row is not the expected one; nothing was changed.
    Conflict,
    /// Unknown outcome: the change may have taken effect.
    Unknown,
    /// The store could not be reached; the change did not take effect.
    Unavailable,
};

struct PutResult {
    PutStatus status = PutStatus::Unavailable;
    /// With `Done` and `Conflict`: the current row.
    Row row;
};

/// A host in the platform's live-host list, which lags behind the actual state.
struct LiveHost {
    std::string name;
    /// Peer address, IP:PORT.
    std::string address;
    std::string zone;
    bool isLeaving = false;
};

/// Client of the platform's table service, object store and live-host list. Any thread may use it; requests
/// are sent one after the other on one connection. A call blocks until requests of other threads have ended,
/// then for at most the timeout.
class StoreClient {
public:
    /// `address` has the form IP:PORT. `timeout` is the limit for one request.
    explicit StoreClient(
        const std::string& address, std::chrono::milliseconds timeout = std::chrono::seconds(1));
    ~StoreClient();

    /// Returns a row; its version is 0 if it does not exist. Error: `store_unavailable`.
    Model::Result<Row> row(const std::string& key);
    /// Writes nonce and value if the row still has the version `row.version`; 0 creates the row. The store
    /// assigns the new version.
    PutResult putRow(const std::string& key, const Row& row);
    /// Returns the content of an object; `std::nullopt` if it does not exist. Error: `store_unavailable`.
    Model::Result<std::optional<std::string>> object(const std::string& hash);
    /// Stores an object. Objects are immutable, so a repeated put is harmless. Error: `store_unavailable`.
    Model::Result<void> putObject(const std::string& hash, const std::string& content);
    /// Returns the platform's live-host list. Error: `store_unavailable`.
    Model::Result<std::vector<LiveHost>> liveHosts();

private:
    Http::Response send(Http::Request request);

    std::chrono::milliseconds m_timeout;
    std::mutex m_mutex;
    std::unique_ptr<Http::Connection> m_connection;
};

}
