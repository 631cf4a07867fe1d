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
    /// HTTP status; 0 if no whole response arrived.
    int status = 0;
    Json body;
    std::string text;
    /// The header `Parsleytack-Session`.
    std::string session;
    /// No byte of the request was sent.
    bool isUnsent = false;

    /// The name of the error; empty without one.
    std::string code() const;
    bool isDone() const { return status == 200; }
    /// The effect as the caller knows it: `done`, `not_run` or `unknown`.
    std::string outcome() const;
};

/// An HTTP client on libcurl with one connection for each host. Never sends a request twice. Used on one
/// thread.
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

/// One request with a connection of its own.
Reply fetch(const std::string& method, const std::string& host, const std::string& path,
    const std::string& body = {}, const std::vector<std::string>& headers = {});

/// One caller's session: its key, and the token that it carries from host to host. Used on one thread.
class Caller {
public:
    explicit Caller(std::string key);

    struct Options {
        std::string requestId;
        int timeoutMs = 5000;
        /// Of a read, in ms; -1 for none.
        int maxAgeMs = -1;
    };

    Reply write(const std::string& host, const std::string& sql, const Options& options);
    Reply write(const std::string& host, const std::string& sql) { return write(host, sql, {}); }
    Reply read(const std::string& host, const std::string& sql, const Options& options);
    Reply read(const std::string& host, const std::string& sql) { return read(host, sql, {}); }
    /// `path` follows `/v1/`.
    Reply post(const std::string& host, const std::string& path, const std::string& body,
        const Options& options, std::vector<std::string> headers = {});

    std::string route = "main";
    std::string token;

private:
    std::string m_key;
    HttpClient m_client;
};

/// The value in the first row of a read; empty without a row.
std::string valueOf(const Reply& reply);

}
