#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Integration {

using Json = nlohmann::json;

struct Reply {
    /// HTTP status; 0 if no complete response arrived.
    int status = 0;
    /// The parsed body; a discarded value if it is not JSON.
    Json body;
    /// The body as received.
    std::string text;
    /// The value of the header `Parsleytack-Session`; empty if it is absent.
    std::string session;
    /// True if it is certain that no byte of the request was sent.
    bool isUnsent = false;

    /// The error code; empty if the response has none.
    std::string code() const;
    bool isDone() const { return status == 200; }
    /// The outcome as far as the caller knows it: `done`, `not_run` or `unknown`.
    std::string outcome() const;
};

/// An HTTP client based on libcurl with one connection for each host. Never sends a request twice. Not
/// thread-safe.
class HttpClient {
public:
    Reply send(const std::string& method, const std::string& host, const std::string& path,
        const std::string& body = {}, const std::vector<std::string>& headers = {},
        std::chrono::milliseconds timeout = std::chrono::seconds(10));

private:
    struct Connection {
        std::shared_ptr<void> curl;
        bool isOpen = false;
        int socketsAllowed = 0;
    };

    std::map<std::string, Connection> m_connections;
};

/// Sends one request on a new connection.
Reply fetch(const std::string& method, const std::string& host, const std::string& path,
    const std::string& body = {}, const std::vector<std::string>& headers = {});

/// A caller with one session: its key, and the session token that it passes from host to host. Not
/// thread-safe.
class Caller {
public:
    explicit Caller(std::string key);

    struct Options {
        std::string requestId;
        int timeoutMs = 5000;
        /// Maximum staleness of a read, in ms; -1 for no limit.
        int maxAgeMs = -1;
    };

    Reply write(const std::string& host, const std::string& sql, const Options& options);
    Reply write(const std::string& host, const std::string& sql) { return write(host, sql, {}); }
    Reply read(const std::string& host, const std::string& sql, const Options& options);
    Reply read(const std::string& host, const std::string& sql) { return read(host, sql, {}); }
    /// Sends a POST request; `path` is relative to `/v1/`.
    Reply post(const std::string& host, const std::string& path, const std::string& body,
        const Options& options, std::vector<std::string> headers = {});

    std::string route = "main";
    /// The latest session token received.
    std::string token;

private:
    std::string m_key;
    HttpClient m_client;
};

/// The value in the first row of the response to a read; empty if there is no row.
std::string valueOf(const Reply& reply);

}
